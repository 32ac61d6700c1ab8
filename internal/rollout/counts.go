package rollout

import (
	"math"
	"time"
)

const (
	// timeBuckets is the number of buckets of answer times. The upper limit of each is
	// bucketFactor times that of the one before: from 5 ms to over a minute.
	timeBuckets  = 24
	firstBucket  = 5 * time.Millisecond
	bucketFactor = 1.5
)

// bucketOf returns the bucket of an answer time.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	n := math.Log(float64(d)/float64(firstBucket)) / math.Log(bucketFactor)
	return min(int(math.Ceil(n)), timeBuckets-1)
}

// Counts counts the answers of one route from the old version or from one endpoint.
type Counts struct {
	Failed uint32
	Times  [timeBuckets]uint32 // by bucket of the answer time, without the failed ones
}

// Trimmed returns the counts by answer time, without the zeros at the end.
func (c *Counts) Trimmed() []uint32 {
	n := timeBuckets
	for n > 0 && c.Times[n-1] == 0 {
		n--
	}
	return c.Times[:n]
}

func (c *Counts) add(failed bool, took time.Duration) {
	if failed {
		c.Failed++
		return
	}
	c.Times[bucketOf(took)]++
}

// answers returns the number of answers, failed ones included.
func (c *Counts) answers() int {
	n := int(c.Failed)
	for _, v := range c.Times {
		n += int(v)
	}
	return n
}

// plus adds the counts of o.
func (c *Counts) plus(o *Counts) {
	c.Failed += o.Failed
	for i, v := range o.Times {
		c.Times[i] += v
	}
}

// minus returns the increase since before. A count that fell counts as unchanged.
func (c *Counts) minus(before *Counts) Counts {
	out := Counts{Failed: c.Failed - min(before.Failed, c.Failed)}
	for i, v := range c.Times {
		out.Times[i] = v - min(before.Times[i], v)
	}
	return out
}

// medianBucket returns the bucket of the median answer time; false without answers.
func (c *Counts) medianBucket() (int, bool) {
	all := c.answers() - int(c.Failed)
	if all == 0 {
		return 0, false
	}
	seen := 0
	for i, v := range c.Times {
		seen += int(v)
		if 2*seen >= all {
			return i, true
		}
	}
	return timeBuckets - 1, true
}

// above returns the number of answers in the buckets above one.
func (c *Counts) above(bucket int) int {
	n := 0
	for _, v := range c.Times[min(bucket+1, timeBuckets):] {
		n += int(v)
	}
	return n
}

// bucketLimit returns the upper limit of a bucket.
func bucketLimit(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketFactor, float64(bucket)))
}

// tailTime returns the answer time that a share of slowShare exceeds, as a bucket's
// upper limit; 0 without answers.
func (c *Counts) tailTime() time.Duration {
	if c == nil {
		return 0
	}
	left := int(slowShare * float64(c.answers()))
	for i := timeBuckets - 1; i >= 0; i-- {
		if left -= int(c.Times[i]); left < 0 {
			return bucketLimit(i)
		}
	}
	return 0
}
