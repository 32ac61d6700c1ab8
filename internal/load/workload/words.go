package workload

import (
	"math/rand/v2"
	"strings"
)

// vocabulary is what prompts are written with. One word is one token of the
// stand-in engines.
var vocabulary = strings.Fields(`
	harvester header feeder chopper elevator topper basecutter roller hydraulic pump
	valve hose filter coupling bearing chain sprocket sensor harness relay
	pressure temperature vibration leak noise slip stall wear crack
	replaced inspected tightened cleaned measured adjusted greased drained
	left right upper lower front rear inner outer
	route street curb block market school bridge depot truck brush
	sweep notice parking resident complaint morning night before after
	hours metres litres turns low high steady`)

// appendWords adds n words drawn from src, each after a space but the first of
// an empty builder.
func appendWords(b *strings.Builder, src *rand.Rand, n int) {
	for range n {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(vocabulary[src.IntN(len(vocabulary))])
	}
}
