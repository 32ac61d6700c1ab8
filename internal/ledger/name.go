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

// Shards is the number of ledger shards. It must be the same everywhere and for
// ever: a key that moved to another shard would not find its record. One shard
// batches best; see docs/adr/0003-ledger.md.
const Shards = 1

// BucketSpan is the time of keys that share a chain of segments. At 500 orders
// a second a minute's chain is about 16 MB, at 20 less than one.
const BucketSpan = time.Minute

// sweepMargin keeps objects longer than the window, against clocks that differ.
const sweepMargin = time.Hour

// bucketOf numbers the minute in which a key was made.
func bucketOf(k Key) int64 { return k.At.Unix() / int64(BucketSpan/time.Second) }

// ShardOf maps a key to one of shards ledger shards. All copies of a key come
// to the same one.
func ShardOf(w fleet.WorkspaceID, k Key, shards int) int {
	h := xxh3.HashSeed(k.ID[:], xxh3.HashString(string(w)))
	return int(h % uint64(shards))
}

// WriterOf returns which of the daemons writes a shard, by rendezvous; -1 for
// none. Daemons that disagree for a while only make each other's writes
// conflict.
func WriterOf(shard int, daemons []string) int {
	return rendezvous.Best(rendezvous.Key("ledger "+strconv.Itoa(shard)), daemons)
}

// Names begin with the bucket, of fixed width, so that they sort by age.
func keyName(w fleet.WorkspaceID, k Key) string {
	return fmt.Sprintf("k.%010d.%016x.%s", bucketOf(k), xxh3.HashString(string(w)), k.ID)
}

func segmentName(shard int, bucket int64, seq int) string {
	return fmt.Sprintf("%s%05d", chainPrefix(shard, bucket), seq)
}

// chainPrefix is what the names of a chain's segments have in common.
func chainPrefix(shard int, bucket int64) string {
	return fmt.Sprintf("s.%010d.%03d.", bucket, shard)
}

// Expired reports whether the object called name holds only keys that are
// refused by age, so that it may be deleted. Names of other origin are kept.
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
