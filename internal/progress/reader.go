package progress

import "io"

// Reader counts the bytes read through it.
type Reader struct {
	R     io.Reader
	Meter *Meter
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.R.Read(p)
	r.Meter.Add(n)
	return n, err
}
