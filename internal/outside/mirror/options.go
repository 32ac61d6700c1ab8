package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// Source is the part of the object API's client that a mirror needs.
type Source interface {
	List(ctx context.Context, kind, prefix string) (objectapi.List, error)
	Watch(ctx context.Context, kinds []string, since uint64, wait time.Duration) (objectapi.WatchAnswer, error)
}

// Options are the settings of a mirror.
type Options struct {
	Source Source
	Kinds  []string
	// OnChange is called with each object's newest version and its deletion, from Run, one call
	// after the other. It must not block.
	OnChange func(objectapi.Object)
	// OnError is called with the error of a failed call; nil for none.
	OnError func(error)
	Wait    time.Duration // of a watch; zero takes DefaultWait
	Random  *rand.Rand    // of the jitter, used by Run only; nil for a random one
}

const (
	// DefaultWait is how long a watch waits. A fleet of 340 costs the store 11
	// reads a second with it.
	DefaultWait = 30 * time.Second
	// waitJitter is the share by which a wait is shortened at random, so that
	// watches which a change woke together drift apart.
	waitJitter = 0.25
	// firstRetry and longestRetry bound the waits after failures. The longest
	// is near the breaker's, which delays a call as well.
	firstRetry   = 200 * time.Millisecond
	longestRetry = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Wait <= 0 {
		o.Wait = DefaultWait
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}
