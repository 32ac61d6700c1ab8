// Package engineapi holds the wire types and paths of a model engine's HTTP
// API, shared by the client and the stand-in. Times are milliseconds, sizes
// tokens unless a name says otherwise.
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
	StreamIDHeader  = "Engine-Stream-Id"   // on answers that stream
	RequestIDHeader = "X-Request-Id"       // on requests, for logs
	PriorityHeader  = "X-Request-Priority" // integer, greater runs first
)

// BlockTokens is the unit of the prefix cache.
const BlockTokens = 16

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest asks for a streamed answer. A token is a word of the
// prompt with its leading white space.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter,omitempty"`
	Version   string    `json:"version,omitempty"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	// Continue is the text that was already generated elsewhere, one token an
	// element. The engine prefills it and the answer starts after it.
	Continue []string `json:"continue,omitempty"`
	// KV names an imported blob that covers the prompt and Continue.
	KV string `json:"kv,omitempty"`
}

// Piece is one SSE event's data. The event's id is Offset in decimal.
type Piece struct {
	Offset int    `json:"offset"` // index of the token in the whole answer, from 0
	Text   string `json:"text"`
	Done   bool   `json:"done,omitempty"`  // the last event, without text; Offset is the answer's length
	Usage  *Usage `json:"usage,omitempty"` // on the last event
}

// Usage is what an answer cost.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Load is an engine's report about itself. It lags.
type Load struct {
	TakenAtMillis      int64   `json:"takenAtMillis"` // Unix
	Running            int     `json:"running"`
	Queued             int     `json:"queued"`
	QueuedPromptTokens int     `json:"queuedPromptTokens"` // that wait to be computed, running requests included
	Slots              int     `json:"slots"`              // requests that run at once
	CacheBlocks        int     `json:"cacheBlocks"`
	CacheBlocksUsed    int     `json:"cacheBlocksUsed"`
	PrefillPerSecond   int     `json:"prefillPerSecond"` // tokens
	TokenMillis        float64 `json:"tokenMillis"`      // time between tokens
}

// CacheEvent says that a prefix block was stored or evicted. Hash is the
// chained hash of the prompt's leading blocks up to this one.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Stored bool   `json:"stored"`
	Hash   uint64 `json:"hash,string"`
}

// CacheEvents is a page of events. A gap between sequence numbers means lost events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"` // pass as since
}

// KVExport asks for the KV cache of a stream; the stream stops generating.
type KVExport struct {
	StreamID string `json:"streamId"`
}

// KVBlob stands for exported KV cache. Generated holds the tokens that the
// stream had generated when it stopped.
type KVBlob struct {
	ID        string   `json:"id"`
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Version   string   `json:"version,omitempty"`
	Prompt    string   `json:"prompt"` // rendered prompt, as the engine hashes it
	Tokens    int      `json:"tokens"` // covered by the blob
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

// Order changes what an engine holds. Repeating one is harmless.
type Order struct {
	Fencing uint64         `json:"fencing"`
	Kind    OrderKind      `json:"kind"`
	Model   fleet.ModelRef `json:"model"`
	Role    string         `json:"role,omitempty"`
	Holder  string         `json:"holder,omitempty"` // who gives it, for logs
}

// Refusal answers an order with an old fencing number.
type Refusal struct {
	Error   string `json:"error"`
	Fencing uint64 `json:"fencing"` // the highest seen
}

// Counters are totals since the engine started.
type Counters struct {
	PromptTokens     int64 `json:"promptTokens"`
	CachedTokens     int64 `json:"cachedTokens"`     // of the prompt, found in the prefix cache
	RecomputedTokens int64 `json:"recomputedTokens"` // prefilled here though some engine of the deployment had computed them before
	GeneratedTokens  int64 `json:"generatedTokens"`
	Executions       int64 `json:"executions"`
}
