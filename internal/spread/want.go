package spread

// Want is a request for a piece.
type Want struct {
	Have    uint64 // the version that the requesting daemon has; 0: none
	Version uint64 // the version whose fetch has begun; 0: the newest
	Offset  int    // bytes of that patch received so far
}
