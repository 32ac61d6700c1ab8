package route

// Limits restrict the requests of callers.
type Limits struct {
	BodyBytes int // longest request body
}
