package connections

// phase is what a connection does.
type phase int

const (
	// reading: no whole head has arrived yet.
	reading phase = iota
	// uploading: the head has arrived, and the body has not.
	uploading
	// working: the whole request has arrived and is being served.
	working
	// leftover: the request is answered, and what is left of its body is read.
	leftover
	// idle: the last request is answered, and no byte of another one has arrived.
	idle
)

// Reason is the limit by which a connection is closed.
type Reason string

// The limits. Idle connections are closed in ordinary operation too.
const (
	Places     Reason = "places"      // of the listener
	HeadMemory Reason = "head-memory" // of all heads
	BodyMemory Reason = "body-memory" // of all bodies
	HeadTime   Reason = "head-time"
	AnswerTime Reason = "answer-time" // the client takes no bytes of an answer
	BodyTime   Reason = "body-time"   // of a body that isn't needed any more
	IdleTime   Reason = "idle-time"
)
