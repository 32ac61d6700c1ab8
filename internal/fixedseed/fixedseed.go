// Package fixedseed makes property-based tests draw the same values on every run,
// so that their results are reproducible. Tests import it for its side effect. The
// flag -rapid.seed overrides the seed; -rapid.seed=0 draws a new one.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags before this package's init runs
)

// seed is arbitrary.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the library has no such flag any more, so runs would differ unnoticed
	}
}
