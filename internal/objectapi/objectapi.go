// Package objectapi holds the wire types and paths of the platform's object
// API, shared by the client and by the stand-in that replaces the store in tests.
// An object has a kind, a name, a
// JSON value of at most MaxValueBytes and a version that grows with each write
// to any object of the store.
package objectapi

import "encoding/json"

// Paths of the API.
const (
	ObjectsPath = "/objects/" // {kind}/{name}: GET, PUT, DELETE; {kind}?prefix=P: GET a List
	WatchPath   = "/watch"    // GET ?kinds=A,B&since=VERSION&wait=MILLIS: WatchAnswer; 410 when since is too old
	CallsPath   = "/calls"    // GET: Calls
	FaultsPath  = "/faults"   // POST Faults, GET Faults
)

// Headers of conditional writes. IfMatch carries a version in decimal;
// IfNoneMatch is "*": the object must not exist.
const (
	IfMatch     = "If-Match"
	IfNoneMatch = "If-None-Match"
)

// MaxValueBytes is the largest size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version. A write whose condition doesn't hold
// is answered 412 with the current Object, whose Version is 0 if none exists.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// List holds the objects of a kind that aren't deleted, sorted by name, and the
// store's version.
type List struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
}

// WatchAnswer holds the changes after the version since, oldest first. Changes is
// empty if there were none within the wait.
type WatchAnswer struct {
	Changes []Object `json:"changes"`
	Version uint64   `json:"version"` // since of the next watch
}

// Calls counts the calls since the stand-in started. A waiting watch counts as one read.
type Calls struct {
	Reads  uint64            `json:"reads"`
	Writes uint64            `json:"writes"`
	ByKind map[string]uint64 `json:"byKind"`
}

// Faults are the faults that the stand-in simulates. The zero value is a healthy
// store.
type Faults struct {
	Outage      bool    `json:"outage,omitempty"`      // connections are accepted, then closed without an answer
	Unavailable bool    `json:"unavailable,omitempty"` // 503 without effect
	SlowMillis  int     `json:"slowMillis,omitempty"`  // delay before each answer
	LoseAnswers float64 `json:"loseAnswers,omitempty"` // share of writes that take effect and whose answer is lost
	Seed        int64   `json:"seed,omitempty"`        // of the random choice of lost answers
}
