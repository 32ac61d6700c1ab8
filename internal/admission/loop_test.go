package admission

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// The measured loop: seeded open-loop arrivals of one daemon, whose engines
// are plain slots with a first-in-first-out queue behind the in-flight limit.
// A request is good when an engine starts it by its deadline.
const (
	loopSlots    = 64
	loopDeadline = time.Second // of the 1.5 s to the first token
	loopPrefill  = 8_000.0     // tokens a second
	loopToken    = 34e-3       // seconds between tokens
)

// kind is one kind of request of the two deployments' mixes.
type kind struct {
	part       float64 // of the arrivals
	prompt     int
	completion int // mean
	max        int
}

var loopKinds = []kind{
	{0.25, 4_000, 300, 800}, // walk-through
	{0.45, 600, 100, 300},   // explanation, notice
	{0.30, 100, 20, 60},     // check
}

// meanTokens is the mean of prompt and completion.
func meanTokens() float64 {
	tokens := 0.0
	for _, k := range loopKinds {
		tokens += k.part * float64(k.prompt+k.completion)
	}
	return tokens
}

// meanHold is the mean time that a request holds a slot.
func meanHold() float64 {
	hold := 0.0
	for _, k := range loopKinds {
		hold += k.part * (float64(k.prompt)/loopPrefill + float64(k.completion)*loopToken)
	}
	return hold
}

// job is one caller's request with its retries.
type job struct {
	ask        Ask
	completion int           // real, in tokens
	first      time.Duration // arrival of the first try
	arrived    time.Duration // of the latest try
	at         time.Duration // of the next event
	tries      int
	running    bool
}

// tally is what one workspace got.
type tally struct {
	offered, good, late, refused int
	firsts                       []time.Duration // from arrival to the first token
}

// first returns a quantile of the time to the first token.
func (t *tally) first(quantile float64) time.Duration {
	if len(t.firsts) == 0 {
		return 0
	}
	slices.Sort(t.firsts)
	return t.firsts[int(quantile*float64(len(t.firsts)-1))]
}

// loop drives one Admission in virtual time.
type loop struct {
	a       *Admission
	rng     *rand.Rand
	now     time.Duration
	events  heap[*job]
	waiting map[fleet.RequestID]*job // queued in admission
	engines int                      // slots that the engines have
	busy    int
	backlog []*job // dispatched, waiting in an engine
	jobs    int

	maxTries int
	retryIn  func(time.Duration) time.Duration
	blind    bool // asks carry no deadline: nothing is refused early
	drop     bool // with blind: refuse at the start what is past its deadline

	tallies  map[fleet.WorkspaceID]*tally
	tries    int
	totals   []time.Duration // from first arrival to the start, retries included
	held     time.Duration   // sum of the times from offer to refusal
	refusals int
	queued   int // refusals of what had been queued
}

func newLoop(seed uint64, cfg Config) *loop {
	l := &loop{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		waiting:  map[fleet.RequestID]*job{},
		engines:  loopSlots,
		tallies:  map[fleet.WorkspaceID]*tally{},
		maxTries: 1,
		retryIn:  func(d time.Duration) time.Duration { return d },
	}
	cfg.LeaseTime = time.Hour // the loop extends nothing
	l.a = New(cfg, rand.New(rand.NewPCG(seed, 2)))
	l.a.SetCapacity("engines", loopSlots)
	l.events.less = func(a, b *job) bool { return a.at < b.at }
	l.events.moved = func(*job, int) {}
	return l
}

func (l *loop) clock() time.Time { return time.Unix(1_000, 0).Add(l.now) }

// arrive adds Poisson arrivals of a workspace in [from, to), rate a second.
func (l *loop) arrive(w fleet.WorkspaceID, rate float64, from, to time.Duration) {
	for at := from; ; {
		at += time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		l.events.push(l.job(w, at))
	}
}

func (l *loop) job(w fleet.WorkspaceID, at time.Duration) *job {
	k, x := loopKinds[0], l.rng.Float64()
	for _, k = range loopKinds {
		if x -= k.part; x < 0 {
			break
		}
	}
	l.jobs++
	j := &job{first: at, at: at}
	j.completion = min(k.max, 1+int(l.rng.ExpFloat64()*float64(k.completion)))
	model := fleet.ModelRef{Model: "m", Adapter: strconv.Itoa(k.max)}
	j.ask = Ask{
		Request:      fleet.RequestID(strconv.Itoa(l.jobs)),
		Workspace:    w,
		Pool:         "engines",
		Model:        model,
		PromptTokens: k.prompt,
		MaxTokens:    k.max,
	}
	return j
}

// run handles all events.
func (l *loop) run() {
	for l.events.len() > 0 {
		j := l.events.pop()
		l.now = j.at
		if j.running {
			l.finish(j)
		} else {
			l.offer(j)
		}
		l.tick()
	}
}

func (l *loop) tally(w fleet.WorkspaceID) *tally {
	if l.tallies[w] == nil {
		l.tallies[w] = &tally{}
	}
	return l.tallies[w]
}

func (l *loop) offer(j *job) {
	if j.tries++; j.tries == 1 {
		l.tally(j.ask.Workspace).offered++
	}
	j.ask.Deadline = l.clock().Add(loopDeadline)
	j.arrived = l.now
	l.tries++
	if l.blind {
		j.ask.Deadline = l.clock().Add(time.Hour)
	}
	d := l.a.Offer(l.clock(), j.ask)
	switch d.Outcome {
	case Admit:
		l.dispatch(j)
	case Queue:
		l.waiting[j.ask.Request] = j
	case Refuse:
		l.refuse(j, d.RetryAfter)
	}
}

func (l *loop) refuse(j *job, after time.Duration) {
	l.refusals++
	l.held += l.now - j.arrived
	if l.now > j.arrived {
		l.queued++
	}
	if j.tries >= l.maxTries {
		l.tally(j.ask.Workspace).refused++
		return
	}
	j.at = l.now + l.retryIn(after)
	l.events.push(j)
}

func (l *loop) tick() {
	for again := true; again; {
		again = l.tickOnce()
	}
}

// tickOnce reports whether a dropped request gave its slot back.
func (l *loop) tickOnce() bool {
	dropped := false
	for _, act := range l.a.Tick(l.clock()) {
		j := l.waiting[act.Request]
		delete(l.waiting, act.Request)
		switch {
		case !act.Start:
			l.refuse(j, act.RetryAfter)
		case l.drop && l.now-j.arrived > loopDeadline:
			l.a.Release(l.clock(), act.Request, Usage{NotRun: true})
			l.refuse(j, loopDeadline)
			dropped = true
		default:
			l.dispatch(j)
		}
	}
	return dropped
}

func (l *loop) dispatch(j *job) {
	j.running = true
	l.backlog = append(l.backlog, j)
	l.serve()
}

// serve starts what the engines have slots for.
func (l *loop) serve() {
	for l.busy < l.engines && len(l.backlog) > 0 {
		j := l.backlog[0]
		l.backlog = l.backlog[1:]
		l.busy++
		l.totals = append(l.totals, l.now-j.first)
		t := l.tally(j.ask.Workspace)
		t.firsts = append(t.firsts, l.now-j.arrived+seconds(float64(j.ask.PromptTokens)/loopPrefill))
		if l.now-j.arrived <= loopDeadline {
			t.good++
		} else {
			t.late++
		}
		j.at = l.now + seconds(float64(j.ask.PromptTokens)/loopPrefill+float64(j.completion)*loopToken)
		l.events.push(j)
	}
}

func (l *loop) finish(j *job) {
	l.busy--
	l.a.Release(l.clock(), j.ask.Request, Usage{PromptTokens: j.ask.PromptTokens, CompletionTokens: j.completion})
	l.serve()
}
