// Package jsonio reads and writes bounded JSON over HTTP, for the platform's
// clients and for the stand-ins that answer them.
package jsonio

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("json")

// Failure is the body of an answer that is not 2xx.
type Failure struct {
	Status int    `json:"status"` // HTTP status
	Detail string `json:"detail"` // a sentence for people
}

// Write answers with status and v as JSON. A caller that went away is not an error.
func Write(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Fail answers with a Failure.
func Fail(w http.ResponseWriter, status int, detail string) {
	Write(w, status, Failure{Status: status, Detail: detail})
}

// Decode reads one JSON value of at most limit bytes into v. Unknown fields,
// more than one value and longer input are errors.
func Decode(r io.Reader, limit int64, v any) error {
	body, err := ReadAll(r, limit)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return Error.Wrap(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Error.New("more than one value")
	}
	return nil
}

// TooLong reports that a body is longer than its bound.
type TooLong struct {
	Limit int64 // bytes
}

func (e *TooLong) Error() string { return "body is longer than its bound" }

// ReadAll reads at most limit bytes, and fails with TooLong where there are more.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if int64(len(body)) > limit {
		return nil, Error.Wrap(&TooLong{Limit: limit})
	}
	return body, nil
}
