package admission

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// The simulation has seeded open-loop arrivals at one daemon. Its engines are
// plain slots with a first-in-first-out queue behind the in-flight limit. A
// request is good if an engine starts it by its deadline.
const (
	simSlots       = 64
	simDeadline    = time.Second // for the start, of the 1.5 s to the first token
	simPrefillRate = 8_000.0     // prompt tokens a second
	simTokenTime   = 34e-3       // seconds between tokens
)

// requestKind is one kind of request of the two deployments' mixes.
type requestKind struct {
	share      float64 // of the arrivals
	prompt     int
	completion int // mean, in tokens
	max        int // max_tokens
}

var simKinds = []requestKind{
	{0.25, 4_000, 300, 800}, // walk-through
	{0.45, 600, 100, 300},   // explanation, notice
	{0.30, 100, 20, 60},     // check
}

// meanTokens is the mean sum of prompt and completion of a request, in tokens.
func meanTokens() float64 {
	tokens := 0.0
	for _, k := range simKinds {
		tokens += k.share * float64(k.prompt+k.completion)
	}
	return tokens
}

// meanHold is the mean time that a request holds a slot, in seconds.
func meanHold() float64 {
	hold := 0.0
	for _, k := range simKinds {
		hold += k.share * (float64(k.prompt)/simPrefillRate + float64(k.completion)*simTokenTime)
	}
	return hold
}

// job is one caller's request, including its retries.
type job struct {
	request      Request
	completion   int           // actual, in tokens
	firstArrival time.Duration // of the first try
	lastArrival  time.Duration // of the latest try
	nextEvent    time.Duration // time of the next event: a try or the end of the run
	tries        int
	running      bool
}

// tally counts the outcomes of one workspace's requests.
type tally struct {
	offered, good, late, refused int
	firstTokens                  []time.Duration // times from the latest arrival to the first token
}

// firstToken returns a quantile of the time to the first token.
func (t *tally) firstToken(quantile float64) time.Duration {
	if len(t.firstTokens) == 0 {
		return 0
	}
	slices.Sort(t.firstTokens)
	return t.firstTokens[int(quantile*float64(len(t.firstTokens)-1))]
}

// loadSim drives one Admission in virtual time.
type loadSim struct {
	a           *Admission
	rng         *rand.Rand
	now         time.Duration
	events      heap[*job]
	waiting     map[fleet.RequestID]*job // queued in admission
	engineSlots int                      // slots of all engines
	busySlots   int
	backlog     []*job // dispatched, queued at the engines
	jobCount    int

	maxTries   int
	retryDelay func(time.Duration) time.Duration
	noDeadline bool // requests have a distant deadline: none is refused early
	dropLate   bool // with noDeadline: refuse late requests at dispatch

	tallies           map[fleet.WorkspaceID]*tally
	tries             int
	startDelays       []time.Duration // from the first arrival to the start, retries included
	timeToRefusal     time.Duration   // sum of the times from arrival to refusal
	refusals          int
	refusedAfterQueue int // refusals of requests that had been queued
}

func newLoadSim(seed uint64, cfg Config) *loadSim {
	l := &loadSim{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		waiting:     map[fleet.RequestID]*job{},
		engineSlots: simSlots,
		tallies:     map[fleet.WorkspaceID]*tally{},
		maxTries:    1,
		retryDelay:  func(d time.Duration) time.Duration { return d },
	}
	cfg.LeaseTime = time.Hour // the simulation renews no leases
	l.a = New(cfg, rand.New(rand.NewPCG(seed, 2)))
	l.a.SetCapacity("engines", simSlots)
	l.events.less = func(a, b *job) bool { return a.nextEvent < b.nextEvent }
	l.events.moved = func(*job, int) {}
	return l
}

func (l *loadSim) clock() time.Time { return time.Unix(1_000, 0).Add(l.now) }

// addArrivals adds Poisson arrivals of a workspace within [from, to), at rate a
// second.
func (l *loadSim) addArrivals(w fleet.WorkspaceID, rate float64, from, to time.Duration) {
	for at := from; ; {
		at += time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		l.events.push(l.newJob(w, at))
	}
}

func (l *loadSim) newJob(w fleet.WorkspaceID, at time.Duration) *job {
	k, x := simKinds[0], l.rng.Float64()
	for _, k = range simKinds {
		if x -= k.share; x < 0 {
			break
		}
	}
	l.jobCount++
	j := &job{firstArrival: at, nextEvent: at}
	j.completion = min(k.max, 1+int(l.rng.ExpFloat64()*float64(k.completion)))
	model := fleet.ModelRef{Model: "m", Adapter: strconv.Itoa(k.max)}
	j.request = Request{
		ID:           fleet.RequestID(strconv.Itoa(l.jobCount)),
		Workspace:    w,
		Pool:         "engines",
		Model:        model,
		PromptTokens: k.prompt,
		MaxTokens:    k.max,
	}
	return j
}

// run processes events until none is left.
func (l *loadSim) run() {
	for l.events.len() > 0 {
		j := l.events.pop()
		l.now = j.nextEvent
		if j.running {
			l.finish(j)
		} else {
			l.offer(j)
		}
		l.tick()
	}
}

func (l *loadSim) tally(w fleet.WorkspaceID) *tally {
	if l.tallies[w] == nil {
		l.tallies[w] = &tally{}
	}
	return l.tallies[w]
}

func (l *loadSim) offer(j *job) {
	if j.tries++; j.tries == 1 {
		l.tally(j.request.Workspace).offered++
	}
	j.request.Deadline = l.clock().Add(simDeadline)
	j.lastArrival = l.now
	l.tries++
	if l.noDeadline {
		j.request.Deadline = l.clock().Add(time.Hour)
	}
	d := l.a.Offer(l.clock(), j.request)
	switch d.Outcome {
	case Admit:
		l.dispatch(j)
	case Queue:
		l.waiting[j.request.ID] = j
	case Refuse:
		l.refuse(j, d.RetryAfter)
	}
}

func (l *loadSim) refuse(j *job, after time.Duration) {
	l.refusals++
	l.timeToRefusal += l.now - j.lastArrival
	if l.now > j.lastArrival {
		l.refusedAfterQueue++
	}
	if j.tries >= l.maxTries {
		l.tally(j.request.Workspace).refused++
		return
	}
	j.nextEvent = l.now + l.retryDelay(after)
	l.events.push(j)
}

func (l *loadSim) tick() {
	for again := true; again; {
		again = l.tickOnce()
	}
}

// tickOnce reports whether a dropped request freed its slot, so that another
// Tick may start more.
func (l *loadSim) tickOnce() bool {
	dropped := false
	for _, act := range l.a.Tick(l.clock()) {
		j := l.waiting[act.Request]
		delete(l.waiting, act.Request)
		switch {
		case !act.Start:
			l.refuse(j, act.RetryAfter)
		case l.dropLate && l.now-j.lastArrival > simDeadline:
			l.a.Release(l.clock(), act.Request, Usage{NotRun: true})
			l.refuse(j, simDeadline)
			dropped = true
		default:
			l.dispatch(j)
		}
	}
	return dropped
}

func (l *loadSim) dispatch(j *job) {
	j.running = true
	l.backlog = append(l.backlog, j)
	l.serve()
}

// serve starts jobs of the backlog while the engines have free slots.
func (l *loadSim) serve() {
	for l.busySlots < l.engineSlots && len(l.backlog) > 0 {
		j := l.backlog[0]
		l.backlog = l.backlog[1:]
		l.busySlots++
		l.startDelays = append(l.startDelays, l.now-j.firstArrival)
		t := l.tally(j.request.Workspace)
		t.firstTokens = append(t.firstTokens, l.now-j.lastArrival+seconds(float64(j.request.PromptTokens)/simPrefillRate))
		if l.now-j.lastArrival <= simDeadline {
			t.good++
		} else {
			t.late++
		}
		j.nextEvent = l.now + seconds(float64(j.request.PromptTokens)/simPrefillRate+float64(j.completion)*simTokenTime)
		l.events.push(j)
	}
}

func (l *loadSim) finish(j *job) {
	l.busySlots--
	l.a.Release(l.clock(), j.request.ID, Usage{PromptTokens: j.request.PromptTokens, CompletionTokens: j.completion})
	l.serve()
}
