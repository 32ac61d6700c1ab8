package outside

import (
	"bytes"
	"io"
	"net/http"
)

// singleUse is a body that can't be sent twice.
type singleUse struct{ io.Reader }

// Close does nothing.
func (singleUse) Close() error { return nil }

// sendOnce makes the request leave at most once.
//
// Failure: the Transport sends a request again by itself when it believes that
// nothing of it was written to a reused connection. Where it is wrong, the
// second copy of a conditional write meets the first one's effect, and the
// caller is told of a conflict with its own write. The Transport doesn't
// repeat a request whose body it can't rewind, which is enough: a body without
// GetBody, also where it is empty.
func sendOnce(req *http.Request, body []byte) {
	req.Body = singleUse{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
}
