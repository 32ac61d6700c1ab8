package spread

// Want asks a source for a piece.
type Want struct {
	Have    uint64 // the version that the asker has
	Version uint64 // the version that it has begun to fetch, 0 for the newest
	Offset  int    // what it has of that patch, in bytes
}
