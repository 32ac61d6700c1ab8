package route

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int
}
