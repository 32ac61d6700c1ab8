package spread

// Text is one version of the text. Version 0 is the empty text, which every daemon
// has.
type Text struct {
	Version uint64
	Bytes   []byte
}
