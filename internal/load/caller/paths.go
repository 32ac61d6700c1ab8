package caller

// Paths and headers of the callers' API.
const (
	EntriesPath     = "/v1/entries"
	CompletionsPath = "/v1/chat/completions"
	RequestsPath    = "/v1/requests/" // {id}/events
	EventsSuffix    = "/events"
	ServicesPath    = "/v1/services/" // {service}/…

	keyHeader       = "Idempotency-Key"
	lastEventHeader = "Last-Event-ID"
)

// Names of SSE events. An event without a name is a chunk of the answer.
const (
	acceptedEvent = "accepted" // the request was accepted; the data is its id
	movedEvent    = "moved"    // resume elsewhere
	errorEvent    = "error"    // ended without its whole answer; the data is problem details
)

// doneData is the data of a stream's last event.
const doneData = "[DONE]"
