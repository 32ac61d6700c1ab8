package engine

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Defaults of Options, of the order of one small accelerator.
const (
	DefaultSlots            = 8
	DefaultMaxQueue         = 1024
	DefaultCacheBlocks      = 4096 // 64 Ki tokens
	DefaultTokenInterval    = 10 * time.Millisecond
	DefaultPrefillPerSecond = 20_000
	DefaultLinger           = 15 * time.Second
	DefaultLoadTime         = 2 * time.Second
	DefaultKVBytesPerToken  = 128 << 10     // an 8-billion-parameter model at 16 bits
	DefaultLinkBytes        = 1_250_000_000 // 10 Gbit/s
)

// Options of an Engine. Zero values of sizes and speeds mean the defaults.
type Options struct {
	Models           []fleet.ModelRef // loaded from the start
	Slots            int              // requests that run at once
	MaxQueue         int              // requests that wait; more get 429
	CacheBlocks      int              // prefix cache, blocks of engineapi.BlockTokens
	TokenInterval    time.Duration    // between tokens of a stream that runs alone
	PrefillPerSecond int              // tokens
	Linger           time.Duration    // a stream without reader, and a finished one, is kept this long
	LoadTime         time.Duration    // from a load order to the model being there
	EventDelay       time.Duration    // cache events are published this late; 0 is at once
	EventLoss        float64          // share of cache events lost, 0 to 1
	LoadLag          time.Duration    // load reports are this old; 0 is current
	KVBytesPerToken  int64
	LinkBytes        int64 // bytes a second for KV exports, shared by them
	Fences           bool  // refuse orders with an old fencing number
	Seed             uint64
	Registry         *Registry // shared by the engines of a deployment; nil makes one
}

func orInt[T int | int64 | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

func (o Options) withDefaults() Options {
	o.Slots = orInt(o.Slots, DefaultSlots)
	o.MaxQueue = orInt(o.MaxQueue, DefaultMaxQueue)
	o.CacheBlocks = orInt(o.CacheBlocks, DefaultCacheBlocks)
	o.TokenInterval = orInt(o.TokenInterval, DefaultTokenInterval)
	o.PrefillPerSecond = orInt(o.PrefillPerSecond, DefaultPrefillPerSecond)
	o.Linger = orInt(o.Linger, DefaultLinger)
	o.LoadTime = orInt(o.LoadTime, DefaultLoadTime)
	o.KVBytesPerToken = orInt(o.KVBytesPerToken, DefaultKVBytesPerToken)
	o.LinkBytes = orInt(o.LinkBytes, DefaultLinkBytes)
	if o.Registry == nil {
		o.Registry = NewRegistry(0)
	}
	return o
}
