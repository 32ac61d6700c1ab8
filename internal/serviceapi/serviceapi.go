// Package serviceapi holds the paths and wire types of "parts", an ordinary HTTP
// service (no model engine) that the stand-in runs for tests.
package serviceapi

// Paths of the service.
const (
	OrdersPath     = "/orders"     // POST OrderRequest: OrderAnswer; not idempotent
	StockPath      = "/stock/"     // GET {part}: Stock
	ExecutionsPath = "/executions" // GET: map of idempotency key to number of executions
	FaultsPath     = "/faults"     // POST Faults
	HealthPath     = "/healthz"
)

// KeyHeader is the header that carries the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

// OrderRequest orders parts.
type OrderRequest struct {
	Part     string `json:"part"`
	Quantity int    `json:"quantity"`
}

// OrderAnswer confirms an order.
type OrderAnswer struct {
	Order    string `json:"order"`
	Part     string `json:"part"`
	Quantity int    `json:"quantity"`
}

// Stock is the quantity of a part in stock.
type Stock struct {
	Part     string `json:"part"`
	Quantity int    `json:"quantity"`
}

// Faults are the faults that the stand-in simulates.
type Faults struct {
	Unavailable    bool `json:"unavailable,omitempty"`    // executes the request, then answers 503
	LoseAnswers    bool `json:"loseAnswers,omitempty"`    // executes the request, then closes the connection without an answer
	CloseAfterRead bool `json:"closeAfterRead,omitempty"` // executes the request, then closes its connection if it was reused
	SlowMillis     int  `json:"slowMillis,omitempty"`
}
