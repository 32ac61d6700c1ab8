package workload

import (
	"math/rand/v2"
	"strings"
)

// vocabulary is the words of prompts. The stand-in engines count a word as a
// token.
var vocabulary = strings.Fields(`
	harvester header feeder chopper elevator topper basecutter roller hydraulic pump
	valve hose filter coupling bearing chain sprocket sensor harness relay
	pressure temperature vibration leak noise slip stall wear crack
	replaced inspected tightened cleaned measured adjusted greased drained
	left right upper lower front rear inner outer
	route street curb block market school bridge depot truck brush
	sweep notice parking resident complaint morning night before after
	hours metres litres turns low high steady`)

// appendWords appends n words drawn from src, separated by spaces.
func appendWords(b *strings.Builder, src *rand.Rand, n int) {
	for range n {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(vocabulary[src.IntN(len(vocabulary))])
	}
}
