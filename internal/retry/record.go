package retry

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("retry")

// recordedBuckets is how far a Record reaches back: a window that a retry counts in may take its
// requests from the window before it.
const recordedBuckets = 2 * buckets

// Record is what a process counted, for the process that follows it on the same instance.
type Record struct {
	Window   time.Duration      `json:"window"`
	Services map[string][]Count `json:"services"` // by bucket, the newest first
}

// Count is the requests and retries of a bucket.
type Count struct {
	Requests int `json:"requests,omitempty"`
	Retries  int `json:"retries,omitempty"`
}

// Close ends the budgets, which allow no further retries, and returns their record. ok is false
// if there is nothing to pass on, because this process doesn't know what was sent in the window.
func (b *Budgets) Close(now time.Time) (r Record, ok bool) {
	b.closed = true
	r = Record{Window: b.config.Window, Services: map[string][]Count{}}
	for service, budget := range b.byService {
		r.Services[service] = budget.record(now)
	}
	return r, b.history.complete(now, b.config.Window)
}

// record returns the counts up to the last bucket that isn't empty.
func (b *budget) record(now time.Time) (out []Count) {
	b.advance(now)
	last := 0
	for i := range recordedBuckets {
		c := b.sum(b.bucket-int64(i), 1)
		out = append(out, c)
		if c != (Count{}) {
			last = i + 1
		}
	}
	return out[:last]
}

// Restore continues from the record of the process before, which was made this long ago. If it
// returns an error the budgets are unchanged. The caller must make sure that no other process
// took the record. A process that ran in between for less than a window, without a record, is
// covered by the share that it could use.
func (b *Budgets) Restore(now time.Time, r Record, age time.Duration) error {
	if err := b.check(r, age); err != nil {
		return err
	}
	for service, counts := range r.Services {
		b.of(service).restore(now, counts, age)
	}
	b.history.known = true
	return nil
}

func (b *Budgets) check(r Record, age time.Duration) error {
	switch {
	case r.Window != b.config.Window:
		return Error.New("the record is of a window of %v, not %v", r.Window, b.config.Window)
	case age < 0 || age > b.config.Window/2:
		return Error.New("the record is %v old, not 0 to %v", age, b.config.Window/2)
	}
	for service, counts := range r.Services {
		if len(counts) > recordedBuckets {
			return Error.New("the record of service %q has %d buckets, more than %d", service, len(counts), recordedBuckets)
		}
		for _, c := range counts {
			if c.Requests < 0 || c.Retries < 0 {
				return Error.New("the record of service %q has negative counts", service)
			}
		}
	}
	return nil
}

func (b *budget) restore(now time.Time, counts []Count, age time.Duration) {
	b.advance(now)
	newest := b.bucket - int64(age/b.shared.bucketWidth())
	for i, c := range counts {
		at := newest - int64(i)
		if at <= b.bucket-keptBuckets {
			return
		}
		kept := &b.counts[at%keptBuckets]
		kept.Requests += c.Requests
		kept.Retries += c.Retries
	}
}
