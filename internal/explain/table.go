package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// tally counts unsuccessful requests by the reason.
type tally struct {
	byReason map[string]map[string]int    // by reason, then route
	bySecond map[time.Time]map[string]int // by second, then reason
	all      int
}

// WriteTable counts the requests that failed, were refused or missed a latency
// target, prints a table by reason and route and one by second and reason, and
// returns their number. Answers in time are not counted, since daemons log only
// some of them.
func WriteTable(w io.Writer, lines []Line) (int, error) {
	t := tally{byReason: map[string]map[string]int{}, bySecond: map[time.Time]map[string]int{}}
	for i := range lines {
		t.add(&lines[i])
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	t.writeReasons(out)
	fmt.Fprintln(out)
	t.writeSeconds(out)
	return t.all, Error.Wrap(out.Flush())
}

func (t *tally) add(l *Line) {
	reason := l.lossReason()
	if reason == "" {
		return
	}
	t.all++
	count(t.byReason, reason, l.text("route"))
	count(t.bySecond, l.Time.Truncate(time.Second), reason)
}

func count[K comparable](m map[K]map[string]int, key K, name string) {
	if m[key] == nil {
		m[key] = map[string]int{}
	}
	m[key][name]++
}

// lossReason returns why the line's request failed, was refused or was late. It is
// empty where the request succeeded in time and for lines about anything else.
func (l *Line) lossReason() string {
	if l.Part != "requests" {
		return ""
	}
	switch late := l.text("late"); {
	case l.text("reason") != "":
		return l.text("reason")
	case l.Message == failedMessage:
		return "failed by endpoint"
	case late != "":
		return late + " late"
	}
	return ""
}

// failedMessage is the log message for a request that its endpoint answered with a failure.
const failedMessage = "failed by its endpoint"

func (t *tally) writeReasons(w io.Writer) {
	routes := names(t.byReason)
	fmt.Fprint(w, "reason\tall\tshare")
	for _, r := range routes {
		fmt.Fprintf(w, "\t%s", orNone(r))
	}
	fmt.Fprintln(w)
	for _, reason := range slices.SortedFunc(maps.Keys(t.byReason), func(a, b string) int {
		return cmp.Or(cmp.Compare(sum(t.byReason[b]), sum(t.byReason[a])), cmp.Compare(a, b))
	}) {
		n := sum(t.byReason[reason])
		fmt.Fprintf(w, "%s\t%d\t%.3f", reason, n, float64(n)/float64(t.all))
		for _, r := range routes {
			fmt.Fprintf(w, "\t%d", t.byReason[reason][r])
		}
		fmt.Fprintln(w)
	}
}

func (t *tally) writeSeconds(w io.Writer) {
	reasons := names(t.bySecond)
	fmt.Fprint(w, "second")
	for _, r := range reasons {
		fmt.Fprintf(w, "\t%s", r)
	}
	fmt.Fprintln(w)
	for _, at := range slices.SortedFunc(maps.Keys(t.bySecond), time.Time.Compare) {
		fmt.Fprint(w, at.Format(time.TimeOnly))
		for _, r := range reasons {
			fmt.Fprintf(w, "\t%d", t.bySecond[at][r])
		}
		fmt.Fprintln(w)
	}
}

// names returns the sorted keys of the inner maps.
func names[K comparable](m map[K]map[string]int) []string {
	all := map[string]bool{}
	for _, row := range m {
		for name := range row {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func sum(row map[string]int) int {
	n := 0
	for _, c := range row {
		n += c
	}
	return n
}

func orNone(route string) string { return cmp.Or(route, "(no route)") }
