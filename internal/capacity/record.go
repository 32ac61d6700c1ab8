package capacity

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Record is what one shard of the duty wants, as the object API keeps it.
type Record struct {
	Next    uint64   `json:"next"` // number of the next intent
	Intents []Intent `json:"intents"`
}

// Intent is one instance that is wanted. It is recorded before it is launched.
type Intent struct {
	Number         uint64           `json:"number"`
	Class          string           `json:"class"`
	DataCentre     fleet.DataCentre `json:"dataCentre"`
	OnDemand       bool             `json:"onDemand,omitempty"`
	Instance       fleet.InstanceID `json:"instance,omitempty"` // once known
	LaunchedMillis int64            `json:"launchedMillis,omitempty"`
}

// token is the client token of an intent: the same for every holder of the
// shard's lease, whatever its fencing number.
func token(shard string, number uint64) string {
	return tokenPrefix(shard) + strconv.FormatUint(number, 10)
}

func tokenPrefix(shard string) string { return "capacity/" + shard + "/" }

func ours(shard, clientToken string) bool {
	return strings.HasPrefix(clientToken, tokenPrefix(shard))
}

func (r Record) clone() Record {
	r.Intents = slices.Clone(r.Intents)
	return r
}

// add records a new intent and returns it.
func (r *Record) add(c choice) Intent {
	i := Intent{Number: r.Next, Class: c.class, DataCentre: c.dataCentre, OnDemand: c.onDemand}
	r.Next++
	r.Intents = append(r.Intents, i)
	return i
}

func (r *Record) drop(number uint64) {
	r.Intents = slices.DeleteFunc(r.Intents, func(i Intent) bool { return i.Number == number })
}

func (i Intent) choice() choice {
	return choice{dataCentre: i.DataCentre, class: i.Class, onDemand: i.OnDemand}
}

// gone reports whether a list read at listed proves that the instance, which
// it does not show, has ended.
func (i Intent) gone(listed time.Time, lag time.Duration) bool {
	return i.Instance != "" && listed.Sub(time.UnixMilli(i.LaunchedMillis)) > lag
}

// set replaces the intent of the same number.
func (r *Record) set(i Intent) {
	for k := range r.Intents {
		if r.Intents[k].Number == i.Number {
			r.Intents[k] = i
		}
	}
}
