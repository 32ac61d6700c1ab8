package engine

import (
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/prompt"
)

// words is the vocabulary of answers. All are plain ASCII letters, so they
// need no escaping in JSON.
var words = [...]string{
	"check", "the", "feed", "roller", "bearing", "for", "play", "and", "listen",
	"at", "idle", "then", "raise", "header", "until", "hydraulic", "pressure",
	"settles", "before", "you", "loosen", "clamp", "inspect", "belt", "tension",
	"replace", "seal", "if", "oil", "shows", "on", "hub", "clean", "sensor",
	"connector", "with", "dry", "cloth", "read", "fault", "code", "again",
	"after", "restart", "compare", "it", "to", "service", "history", "route",
	"north", "curb", "sweep", "market", "street", "by", "dawn", "notify",
	"residents", "of", "parking", "limits", "near", "plant",
}

// token returns token i of the answer to the prompt with this hash. All but
// the first have a leading space.
func token(seed uint64, i int) string {
	// SplitMix64 (Steele, Lea, Flood 2014) over seed and index.
	z := seed + uint64(i+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	k := z % uint64(len(words))
	if i == 0 {
		return words[k]
	}
	return spaced[k]
}

var spaced = func() (s [len(words)]string) {
	for i, w := range words {
		s[i] = " " + w
	}
	return s
}()

// promptSeed is the hash that an answer's text depends on.
func promptSeed(rendered string) uint64 { return xxh3.HashString(rendered) }

// Text returns the first n tokens of the undisturbed answer to messages.
func Text(messages []engineapi.Message, n int) []string {
	return tokens(promptSeed(prompt.Render(messages)), n)
}

func tokens(seed uint64, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = token(seed, i)
	}
	return out
}
