// Package engineapi holds the wire types and paths of a model engine's HTTP
// API, shared by the client and by the stand-in that replaces engines in tests.
// Times are in milliseconds and sizes in tokens unless a name says otherwise.
package engineapi

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Paths of the API. {id} is a stream id.
const (
	CompletionsPath = "/v1/chat/completions" // POST CompletionRequest: SSE of Piece
	StreamPath      = "/v1/streams/"         // GET {id}?from=N: SSE of Piece; DELETE {id}: cancel
	LoadPath        = "/v1/load"             // GET: Load
	EventsPath      = "/v1/cache/events"     // GET ?since=SEQ: CacheEvents
	ExportPath      = "/v1/kv/export"        // POST KVExport: KVBlob
	ImportPath      = "/v1/kv/import"        // POST KVBlob: 204
	OrdersPath      = "/v1/orders"           // POST Order: 200, or 409 Refusal
	ModelsPath      = "/v1/models"           // GET: []fleet.ModelRef
	CountersPath    = "/counters"            // GET: Counters
	HealthPath      = "/healthz"             // GET: 200
)

// Headers of the API.
const (
	StreamIDHeader  = "Engine-Stream-Id"   // on streamed answers
	RequestIDHeader = "X-Request-Id"       // on requests, for logs
	PriorityHeader  = "X-Request-Priority" // integer; requests with a greater value run first
)

// BlockTokens is the number of tokens in a block, the unit of the prefix cache.
const BlockTokens = 16

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest asks for a streamed answer. The stand-in counts a word with
// its leading white space as one token.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter,omitempty"`
	Version   string    `json:"version,omitempty"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	// Continue holds the tokens that another engine has already generated. The
	// engine prefills them and its answer starts after them.
	Continue []string `json:"continue,omitempty"`
	// KV is the ID of an imported KVBlob that covers the prompt and Continue.
	KV string `json:"kv,omitempty"`
}

// Piece is the data of one SSE event of an answer. The event's id is Offset in
// decimal.
type Piece struct {
	Offset int    `json:"offset"` // index of the token in the whole answer, from 0
	Text   string `json:"text"`
	Done   bool   `json:"done,omitempty"`  // set on the last event, which has no text; its Offset is the answer's length
	Usage  *Usage `json:"usage,omitempty"` // set on the last event
}

// Usage counts the tokens of an answer and its prompt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Load is the load that an engine reports. It describes the engine at
// TakenAtMillis, some time before the report arrives.
type Load struct {
	TakenAtMillis      int64   `json:"takenAtMillis"` // Unix
	Running            int     `json:"running"`
	Queued             int     `json:"queued"`
	QueuedPromptTokens int     `json:"queuedPromptTokens"` // prompt tokens not yet prefilled, of queued and of running requests
	Slots              int     `json:"slots"`              // largest number of requests that run at once
	CacheBlocks        int     `json:"cacheBlocks"`
	CacheBlocksUsed    int     `json:"cacheBlocksUsed"`
	PrefillPerSecond   int     `json:"prefillPerSecond"` // prefill rate, in tokens
	TokenMillis        float64 `json:"tokenMillis"`      // time between generated tokens
}

// CacheEvent reports that a block was stored in the prefix cache, or evicted from
// it. Hash is the chained hash of the prompt's blocks up to and including this one.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Stored bool   `json:"stored"`
	Hash   uint64 `json:"hash,string"`
}

// CacheEvents is a page of events. A gap between sequence numbers
// means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"` // since of the next request
}

// KVExport asks for the KV cache of a stream. The export stops the stream.
type KVExport struct {
	StreamID string `json:"streamId"`
}

// KVBlob describes an exported KV cache. Generated holds the tokens that the
// stream had generated when the export stopped it.
type KVBlob struct {
	ID        string   `json:"id"`
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Version   string   `json:"version,omitempty"`
	Prompt    string   `json:"prompt"` // rendered prompt, as the engine hashes it
	Tokens    int      `json:"tokens"` // number of tokens that the blob covers
	Bytes     int64    `json:"bytes"`
	Generated []string `json:"generated"`
}

// OrderKind is what an order asks an engine to do.
type OrderKind string

// The kinds of order.
const (
	LoadModel   OrderKind = "load"
	UnloadModel OrderKind = "unload"
	SetRole     OrderKind = "role"
)

// Order is a command that changes an engine's loaded models or its role. Orders
// are idempotent.
type Order struct {
	Fencing uint64         `json:"fencing"` // fencing number of the sender's lease
	Kind    OrderKind      `json:"kind"`
	Model   fleet.ModelRef `json:"model"`
	Role    string         `json:"role,omitempty"`
	Holder  string         `json:"holder,omitempty"` // lease holder that sent the order, for logs
}

// Refusal is the answer to an order whose fencing number is older than the highest
// one that the engine has seen.
type Refusal struct {
	Error   string `json:"error"`
	Fencing uint64 `json:"fencing"` // highest fencing number seen
}

// Counters are totals since the engine started.
type Counters struct {
	PromptTokens     int64 `json:"promptTokens"`
	CachedTokens     int64 `json:"cachedTokens"`     // prompt tokens found in the prefix cache
	RecomputedTokens int64 `json:"recomputedTokens"` // prefilled here although an engine of the deployment had computed them before
	GeneratedTokens  int64 `json:"generatedTokens"`
	Executions       int64 `json:"executions"`
}
