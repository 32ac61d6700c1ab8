package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Shards is the number of ledger shards. It must be the same at every daemon and
// never change: the record of a key that moved to another shard would not be
// found. One shard batches best; see docs/adr/0003-ledger.md.
const Shards = 1

// BucketSpan is the span of the times of the keys that share a chain of segments.
// At 500 requests a second a minute's chain is about 16 MB, at 20 less than one.
const BucketSpan = time.Minute

// sweepMargin is how much longer than the window objects are kept, since clocks
// differ.
const sweepMargin = time.Hour

// bucketOf returns the number of the span in which a key was made, since the Unix
// epoch.
func bucketOf(k Key) int64 { return k.At.Unix() / int64(BucketSpan/time.Second) }

// ShardOf maps a key to one of the ledger's shards, from 0 to shards-1. All copies
// of a key map to the same one.
func ShardOf(w fleet.WorkspaceID, k Key, shards int) int {
	h := xxh3.HashSeed(k.ID[:], xxh3.HashString(string(w)))
	return int(h % uint64(shards))
}

// WriterOf returns the index of the daemon that writes a shard, by rendezvous
// hashing; -1 if there are none. Daemons that disagree for a while only cause
// conflicts between their writes.
func WriterOf(shard int, daemons []string) int {
	return rendezvous.Best(rendezvous.Key("ledger "+strconv.Itoa(shard)), daemons)
}

// keyName and chainPrefix put the bucket first, with a fixed width, so that names
// sort by age.
func keyName(w fleet.WorkspaceID, k Key) string {
	return fmt.Sprintf("k.%010d.%016x.%s", bucketOf(k), xxh3.HashString(string(w)), k.ID)
}

func segmentName(shard int, bucket int64, seq int) string {
	return fmt.Sprintf("%s%05d", chainPrefix(shard, bucket), seq)
}

// chainPrefix returns the prefix of the names of a chain's segments.
func chainPrefix(shard int, bucket int64) string {
	return fmt.Sprintf("s.%010d.%03d.", bucket, shard)
}

// Expired reports whether the object called name holds only keys that are
// refused by age, so that it may be deleted. False for names of another form.
func Expired(now time.Time, name string, window time.Duration) bool {
	parts := strings.SplitN(name, ".", 3)
	if len(parts) != 3 || (parts[0] != "k" && parts[0] != "s") {
		return false
	}
	bucket, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return false
	}
	end := time.Unix(0, 0).Add(time.Duration(bucket+1) * BucketSpan)
	return now.Sub(end) > window+sweepMargin
}
