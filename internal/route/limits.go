package route

// Limits are limits on a caller's request.
type Limits struct {
	BodyBytes int // of the body
}
