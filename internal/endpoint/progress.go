package endpoint

import (
	"io"
	"time"
)

// progressReader arms the watchdog for as long as it waits for bytes.
type progressReader struct {
	src     io.Reader
	dog     *watchdog
	first   time.Duration // from the start to the first piece; 0 is none
	firstBy time.Time
	between time.Duration // 0 is none
	begun   bool          // a piece was read
}

// Read is the reader's, under the deadline of the stage.
func (p *progressReader) Read(b []byte) (int, error) {
	p.arm()
	n, err := p.src.Read(b)
	p.dog.rest()
	return n, err
}

func (p *progressReader) arm() {
	switch {
	case p.begun && p.between > 0:
		p.dog.arm(p.between)
	case !p.begun && p.first > 0:
		p.dog.arm(time.Until(p.firstBy))
	}
}
