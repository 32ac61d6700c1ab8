package endpoint

import (
	"io"
	"time"
)

// progressReader arms the watchdog while it waits for the bytes of a piece. Bytes of comments, or of a
// piece without an end, don't extend the wait.
type progressReader struct {
	src           io.Reader
	watchdog      *watchdog
	firstTimeout  time.Duration // from the start to the first piece; 0 is none
	firstDeadline time.Time
	stallTimeout  time.Duration // 0 is none
	firstRead     bool          // the first piece was read
	armed         bool          // since the first read for the next piece
}

// Read reads from src under the timeout of the current stage.
func (p *progressReader) Read(b []byte) (int, error) {
	if !p.armed {
		p.armed = true
		p.arm()
	}
	return p.src.Read(b)
}

// endPiece ends the wait for a piece.
func (p *progressReader) endPiece() {
	if p.armed {
		p.armed = false
		p.watchdog.disarm()
	}
}

func (p *progressReader) arm() {
	switch {
	case p.firstRead && p.stallTimeout > 0:
		p.watchdog.arm(p.stallTimeout)
	case !p.firstRead && p.firstTimeout > 0:
		p.watchdog.arm(time.Until(p.firstDeadline))
	}
}
