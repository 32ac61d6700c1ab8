package spread

// Piece is a part of the patch that leads from one version to another.
type Piece struct {
	Version uint64 // 0 where the source has none
	Base    uint64 // the version that the patch starts from
	Size    int    // of the whole patch, in bytes
	Offset  int
	Data    []byte
}
