// Package serviceapi holds the paths and wire types of the stand-in's plain
// service, "parts".
package serviceapi

// Paths of the service.
const (
	OrdersPath     = "/orders"     // POST OrderRequest: OrderAnswer; must not be repeated
	StockPath      = "/stock/"     // GET {part}: Stock
	ExecutionsPath = "/executions" // GET: map of idempotency key to times run
	FaultsPath     = "/faults"     // POST Faults
	HealthPath     = "/healthz"
)

// KeyHeader carries the caller's idempotency key to the service.
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

// Stock is how many of a part are there.
type Stock struct {
	Part     string `json:"part"`
	Quantity int    `json:"quantity"`
}

// Faults switches the stand-in's faults.
type Faults struct {
	Unavailable    bool `json:"unavailable,omitempty"`    // 503 after running
	LoseAnswers    bool `json:"loseAnswers,omitempty"`    // runs, then closes the connection
	CloseAfterRead bool `json:"closeAfterRead,omitempty"` // closes reused connections after reading the request
	SlowMillis     int  `json:"slowMillis,omitempty"`
}
