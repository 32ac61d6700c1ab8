package objectstore

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/jsonio"
)

// maxKinds bounds the kinds of one watch.
const maxKinds = 64

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.countRead("get " + kind)
	if s.failsNow(w) {
		return
	}
	object, found := s.get(kind, name)
	s.delayAnswer(r)
	if !found {
		jsonio.Fail(w, http.StatusNotFound, "there is no such object")
		return
	}
	jsonio.Write(w, http.StatusOK, object)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	s.countRead("list " + kind)
	if s.failsNow(w) {
		return
	}
	found := s.list(kind, r.URL.Query().Get("prefix"))
	s.delayAnswer(r)
	jsonio.Write(w, http.StatusOK, found)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.countRead("watch")
	if s.failsNow(w) {
		return
	}
	query := r.URL.Query()
	kinds, ok := parseKinds(query.Get("kinds"))
	since, sinceErr := strconv.ParseUint(query.Get("since"), 10, 64)
	wait, waitErr := strconv.ParseUint(query.Get("wait"), 10, 31)
	if !ok || sinceErr != nil || waitErr != nil {
		jsonio.Fail(w, http.StatusBadRequest, "a watch has kinds, since (a version) and wait (milliseconds)")
		return
	}
	answer, state := s.watch(r.Context(), kinds, since, time.Duration(wait)*time.Millisecond)
	if state == watchFails && s.failsNow(w) {
		return
	}
	s.delayAnswer(r)
	if state == watchGone {
		jsonio.Fail(w, http.StatusGone, "since is older than the log, or not of this store; list again")
		return
	}
	jsonio.Write(w, http.StatusOK, answer)
}

func parseKinds(text string) (map[string]bool, bool) {
	names := strings.Split(text, ",")
	if text == "" || len(names) > maxKinds {
		return nil, false
	}
	kinds := make(map[string]bool, len(names))
	for _, name := range names {
		if name == "" {
			return nil, false
		}
		kinds[name] = true
	}
	return kinds, true
}
