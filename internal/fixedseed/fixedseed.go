// Package fixedseed makes randomised tests draw the same values on every run,
// so that their verdict is the same, unless a seed is asked for on the command
// line. Tests import it for its effect; fresh seeds are drawn with
// -rapid.seed=0.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags before init runs here
)

// seed has no meaning.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the flag is gone from the library: runs would differ unnoticed
	}
}
