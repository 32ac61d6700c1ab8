package upstream

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// ErrUploadNotRead means that an endpoint has ended its answer, and reads no more of the request.
var ErrUploadNotRead = Error.New("endpoint reads no more of the request")

// uploadPiece is the most bytes of a request's body that are written at once, after each of which progress is known.
const uploadPiece = 32 << 10

// upload writes a request's body while the answer is read.
type upload struct {
	written atomic.Int64  // bytes
	done    chan struct{} // closed at the end of the writing
	err     error         // why not all of the body was written; set before done is closed
}

func startUpload(nc net.Conn, body []byte) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = u.write(nc, body)
	}()
	return u
}

func (u *upload) write(nc net.Conn, body []byte) error {
	for len(body) > 0 {
		n, err := nc.Write(body[:min(len(body), uploadPiece)])
		if err != nil {
			return err
		}
		u.written.Add(int64(n))
		body = body[n:]
	}
	return nil
}

// wait returns the result of the writing. It returns ErrUploadNotRead if nothing more was written for as long as the
// timeout, 0 for none. Time in which this process was paused doesn't count.
func (u *upload) wait(timeout time.Duration) error {
	check := time.NewTicker(pauseCheckInterval)
	defer check.Stop()
	written, stalled := u.written.Load(), time.Duration(0)
	for {
		select {
		case <-u.done:
			return u.err
		case <-check.C:
		}
		stalled += pauseCheckInterval
		if n := u.written.Load(); n > written {
			written, stalled = n, 0
		}
		if timeout > 0 && stalled >= timeout {
			return ErrUploadNotRead
		}
	}
}

// confirmEnd returns an error if an answer that isn't delimited may have been cut off where it ends: the kernel
// reports a reset once, and if the side that writes the request gets it, the one that reads finds an ordinary end.
func (a *Answer) confirmEnd() error {
	if a.upload == nil || a.Delimited() {
		return nil
	}
	err := a.upload.wait(a.conn.wait.silenceTimeout)
	if err != nil {
		return fmt.Errorf("answer without a length ended before the request was written: %w", err)
	}
	return nil
}
