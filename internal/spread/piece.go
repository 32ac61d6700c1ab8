package spread

// Piece is a section of a patch from one version to another.
type Piece struct {
	Version uint64 // 0 if the source has none
	Base    uint64 // the version that the patch starts from; 0: none
	Size    int    // of the whole patch, in bytes
	Offset  int
	Data    []byte
}
