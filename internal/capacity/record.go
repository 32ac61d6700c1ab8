package capacity

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Record is the wanted instances of one shard, as stored in the object API.
type Record struct {
	Next    uint64   `json:"next"` // number of the next intent
	Intents []Intent `json:"intents"`
}

// Intent is a wanted instance. It is recorded before it is launched.
type Intent struct {
	Number         uint64           `json:"number"`
	Class          string           `json:"class"`
	DataCentre     fleet.DataCentre `json:"dataCentre"`
	OnDemand       bool             `json:"onDemand,omitempty"`
	Instance       fleet.InstanceID `json:"instance,omitempty"` // empty until known
	LaunchedMillis int64            `json:"launchedMillis,omitempty"`
}

// token returns the client token of an intent. It doesn't depend on the holder of
// the shard's lease or its fencing number.
func token(shard string, number uint64) string {
	return tokenPrefix(shard) + strconv.FormatUint(number, 10)
}

func tokenPrefix(shard string) string { return "capacity/" + shard + "/" }

func isToken(shard, clientToken string) bool {
	return strings.HasPrefix(clientToken, tokenPrefix(shard))
}

func (r Record) clone() Record {
	r.Intents = slices.Clone(r.Intents)
	return r
}

// add records a new intent and returns it.
func (r *Record) add(c kind) Intent {
	i := Intent{Number: r.Next, Class: c.class, DataCentre: c.dataCentre, OnDemand: c.onDemand}
	r.Next++
	r.Intents = append(r.Intents, i)
	return i
}

func (r *Record) drop(number uint64) {
	r.Intents = slices.DeleteFunc(r.Intents, func(i Intent) bool { return i.Number == number })
}

func (i Intent) kind() kind {
	return kind{dataCentre: i.DataCentre, class: i.Class, onDemand: i.OnDemand}
}

// ended reports whether the instance has ended, given that it is missing from a list
// requested at listed. Before lag has passed since its launch, it may only be
// missing from the list so far.
func (i Intent) ended(listed time.Time, lag time.Duration) bool {
	return i.Instance != "" && listed.Sub(time.UnixMilli(i.LaunchedMillis)) > lag
}

// set replaces the intent with the same number.
func (r *Record) set(i Intent) {
	for k := range r.Intents {
		if r.Intents[k].Number == i.Number {
			r.Intents[k] = i
		}
	}
}
