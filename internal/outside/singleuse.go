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

// sendOnce makes the transport send a request at most once.
//
// http.Transport sends a request again by itself when it assumes that nothing of it was written
// to a reused connection. If that is wrong, the second copy of a conditional write conflicts
// with the first one's effect, and the caller gets a conflict with its own write. The
// Transport doesn't repeat a request whose body it can't rewind: one without GetBody, even if
// it is empty.
func sendOnce(req *http.Request, body []byte) {
	req.Body = singleUse{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
}
