// Package objectapi holds the wire types and paths of the platform's object
// API, shared by the client and the stand-in. An object has a kind, a name, a
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
// IfNoneMatch is "*" and asks that the object not exist.
const (
	IfMatch     = "If-Match"
	IfNoneMatch = "If-None-Match"
)

// MaxValueBytes bounds a value.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version. A write that loses its condition
// is answered 412 with the current Object, Version 0 where there is none.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// List is the live objects of a kind, by name, and the store's version.
type List struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
}

// WatchAnswer holds the changes after since, oldest first; empty when the wait ran out.
type WatchAnswer struct {
	Changes []Object `json:"changes"`
	Version uint64   `json:"version"` // pass as since
}

// Calls counts calls since the start. A waiting watch counts as one read.
type Calls struct {
	Reads  uint64            `json:"reads"`
	Writes uint64            `json:"writes"`
	ByKind map[string]uint64 `json:"byKind"`
}

// Faults switches the stand-in's faults. The zero value is a healthy store.
type Faults struct {
	Outage      bool    `json:"outage,omitempty"`      // connections are accepted, then closed without an answer
	Unavailable bool    `json:"unavailable,omitempty"` // 503 without effect
	SlowMillis  int     `json:"slowMillis,omitempty"`  // before each answer
	LoseAnswers float64 `json:"loseAnswers,omitempty"` // share of writes that take effect and whose answer is lost
	Seed        int64   `json:"seed,omitempty"`        // of the choice which answers are lost
}
