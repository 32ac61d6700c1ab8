package endpoint

import (
	"io"
	"time"
)

// progressReader arms the watchdog while it waits for bytes.
type progressReader struct {
	src           io.Reader
	watchdog      *watchdog
	firstTimeout  time.Duration // from the start to the first piece; 0 is none
	firstDeadline time.Time
	stallTimeout  time.Duration // 0 is none
	firstRead     bool          // the first piece was read
}

// Read reads from src under the timeout of the current stage.
func (p *progressReader) Read(b []byte) (int, error) {
	p.arm()
	n, err := p.src.Read(b)
	p.watchdog.disarm()
	return n, err
}

func (p *progressReader) arm() {
	switch {
	case p.firstRead && p.stallTimeout > 0:
		p.watchdog.arm(p.stallTimeout)
	case !p.firstRead && p.firstTimeout > 0:
		p.watchdog.arm(time.Until(p.firstDeadline))
	}
}
