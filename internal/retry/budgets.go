package retry

import "time"

// Budgets holds one daemon's parts of the bounds for all services. It is not safe for
// concurrent use.
type Budgets struct {
	config    Config
	history   history
	daemons   int
	offset    float64
	closed    bool
	byService map[string]*budget
	// departures are the buckets of the last window in which daemons ceased to serve.
	departures []int64
}

// NewBudgets returns the budgets of a process that started at a time. first means that
// nothing was sent before, because the whole system starts for the first time.
func NewBudgets(config Config, started time.Time, first bool) *Budgets {
	return &Budgets{config: config, history: history{start: started, known: first}, byService: map[string]*budget{}}
}

// SetDaemons sets how many daemons share the slack. 0 means that their number is unknown,
// and leaves this daemon none. offset, in [0, 1), is added to what this daemon may send: if the
// daemons' offsets are spread evenly, the fractions of retries that each can't use add up to
// whole ones that some can.
func (b *Budgets) SetDaemons(n int, offset float64) { b.daemons, b.offset = n, offset }

// backlogTime is how long it takes to read the requests that arrived during a hold-up.
const backlogTime = 200 * time.Millisecond

// Departed records that a daemon no longer serves. Its callers move to others, whose budgets
// would grow with their requests, while what it sent for them is still in the window.
func (b *Budgets) Departed(now time.Time) {
	bucket := b.bucketOf(now)
	for len(b.departures) > 0 && b.departures[0] < bucket-buckets {
		b.departures = b.departures[1:]
	}
	if n := len(b.departures); n == 0 || b.departures[n-1] != bucket {
		b.departures = append(b.departures, bucket)
	}
}

// bucketOf returns the number of the bucket of a time. Those before the start of the history may
// be restored from a record.
func (b *Budgets) bucketOf(now time.Time) int64 {
	return keptBuckets + int64(now.Sub(b.history.start)/b.bucketWidth())
}

func (b *Budgets) bucketWidth() time.Duration { return b.config.Window / buckets }

// Request counts a caller's request for a service. heldUpUntil is the end of the last time in
// which this process was held up, zero if there was none. A request that may have waited
// meanwhile isn't counted: it was sent in an earlier window.
func (b *Budgets) Request(now, heldUpUntil time.Time, service string) {
	if now.Sub(heldUpUntil) >= backlogTime {
		b.of(service).request(now)
	}
}

// Take counts one retry and returns true if the service's budget allows it.
func (b *Budgets) Take(now time.Time, service string) bool { return b.of(service).take(now) }

// Status returns the state of the budgets, by service.
func (b *Budgets) Status(now time.Time) map[string]Status {
	out := make(map[string]Status, len(b.byService))
	for service, budget := range b.byService {
		out[service] = budget.status(now)
	}
	return out
}

func (b *Budgets) of(service string) *budget {
	found := b.byService[service]
	if found == nil {
		found = &budget{shared: b}
		b.byService[service] = found
	}
	return found
}

// history says since when a process counts, and whether it knows what was sent before: nothing, or
// what its predecessor's record says.
type history struct {
	start time.Time
	known bool
}

// complete reports whether all that was sent in the window is known.
func (h *history) complete(now time.Time, window time.Duration) bool {
	return h.known || now.Sub(h.start) >= window+settleTime
}
