package rollout

import (
	"math"
	"time"
)

const (
	// timeBuckets are classes of answer times, each half as long again as the one
	// before: from 5 ms to over a minute.
	timeBuckets  = 24
	firstBucket  = 5 * time.Millisecond
	bucketFactor = 1.5
)

// bucketOf returns the class of an answer time.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	n := math.Log(float64(d)/float64(firstBucket)) / math.Log(bucketFactor)
	return min(int(math.Ceil(n)), timeBuckets-1)
}

// Counts is the answers that were counted of one kind.
type Counts struct {
	Failed uint32
	Times  [timeBuckets]uint32 // by answer time, without the failed ones
}

// Trimmed returns the counts by answer time up to the last that isn't 0.
func (c *Counts) Trimmed() []uint32 {
	n := timeBuckets
	for n > 0 && c.Times[n-1] == 0 {
		n--
	}
	return c.Times[:n]
}

// add counts an answer.
func (c *Counts) add(failed bool, took time.Duration) {
	if failed {
		c.Failed++
		return
	}
	c.Times[bucketOf(took)]++
}

// answers returns how many answers there were.
func (c *Counts) answers() int {
	n := int(c.Failed)
	for _, v := range c.Times {
		n += int(v)
	}
	return n
}

// plus adds other counts.
func (c *Counts) plus(o *Counts) {
	c.Failed += o.Failed
	for i, v := range o.Times {
		c.Times[i] += v
	}
}

// minus returns what counts that only rise have gained since.
func (c *Counts) minus(before *Counts) Counts {
	out := Counts{Failed: c.Failed - min(before.Failed, c.Failed)}
	for i, v := range c.Times {
		out.Times[i] = v - min(before.Times[i], v)
	}
	return out
}

// medianBucket returns the class of the middle answer time, false without any.
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

// above returns the answers of a class above one.
func (c *Counts) above(bucket int) int {
	n := 0
	for _, v := range c.Times[min(bucket+1, timeBuckets):] {
		n += int(v)
	}
	return n
}

// bucketLimit returns the longest answer time of a class.
func bucketLimit(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketFactor, float64(bucket)))
}

// tailTime returns the time that all but rare answers took at most, 0 without any.
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
