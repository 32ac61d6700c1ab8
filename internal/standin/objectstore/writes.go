package objectstore

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/jsonio"
)

// maxNameBytes bounds a kind and a name.
const maxNameBytes = 512

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.countWrite("put " + kind)
	if s.failsNow(w) {
		return
	}
	c, ok := checkedCondition(w, r, kind, name)
	if !ok {
		return
	}
	value, ok := checkedValue(w, r)
	if !ok {
		return
	}
	object, applied := s.put(kind, name, value, c)
	s.answerWrite(w, r, object, applied)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.countWrite("delete " + kind)
	if s.failsNow(w) {
		return
	}
	c, ok := checkedCondition(w, r, kind, name)
	if !ok {
		return
	}
	if c.absent {
		jsonio.Fail(w, http.StatusBadRequest, "a delete names the version that it deletes")
		return
	}
	object, applied := s.remove(kind, name, c)
	s.answerWrite(w, r, object, applied)
}

// answerWrite answers 200 with the written object but its value, which the
// caller has, or 412 with the whole current one.
func (s *Store) answerWrite(w http.ResponseWriter, r *http.Request, object objectapi.Object, applied bool) {
	if applied && s.losesAnswer() {
		closeConnection()
	}
	s.delayAnswer(r)
	if !applied {
		jsonio.Write(w, http.StatusPreconditionFailed, object)
		return
	}
	object.Value = nil
	jsonio.Write(w, http.StatusOK, object)
}

// checkedCondition reads a write's condition, or answers why it can't. A write
// without one is refused: two racing writers would undo each other unseen.
func checkedCondition(w http.ResponseWriter, r *http.Request, kind, name string) (condition, bool) {
	if name == "" || len(kind) > maxNameBytes || len(name) > maxNameBytes {
		jsonio.Fail(w, http.StatusBadRequest, "a name has 1 to 512 bytes, and so has a kind")
		return condition{}, false
	}
	match, none := r.Header.Get(objectapi.IfMatch), r.Header.Get(objectapi.IfNoneMatch)
	switch {
	case match == "" && none == "":
		jsonio.Fail(w, http.StatusPreconditionRequired, "a write needs If-Match with a version, or If-None-Match: *")
		return condition{}, false
	case match == "" && none == "*":
		return condition{absent: true}, true
	}
	version, err := strconv.ParseUint(match, 10, 64)
	if err != nil || none != "" || version == 0 {
		jsonio.Fail(w, http.StatusBadRequest, "the condition is one of If-Match with a version and If-None-Match: *")
		return condition{}, false
	}
	return condition{version: version}, true
}

// checkedValue reads a PUT's value, or answers why it can't.
func checkedValue(w http.ResponseWriter, r *http.Request) (json.RawMessage, bool) {
	body, err := jsonio.ReadAll(r.Body, objectapi.MaxValueBytes)
	var long *jsonio.TooLong
	switch {
	case errors.As(err, &long):
		jsonio.Fail(w, http.StatusRequestEntityTooLarge, "the value is longer than a megabyte")
		return nil, false
	case err != nil:
		jsonio.Fail(w, http.StatusBadRequest, "the value could not be read")
		return nil, false
	case !json.Valid(body):
		jsonio.Fail(w, http.StatusBadRequest, "the value is not JSON")
		return nil, false
	}
	return body, true
}
