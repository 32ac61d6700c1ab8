package delivery

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors made by this package.
var Error = errs.Class("delivery")

// Record is what is known of one delivery of a request.
type Record struct {
	// To is the ID of an endpoint, or the address of another daemon.
	To string
	// NotRun says that the request was not run there, and won't be.
	NotRun   bool
	Evidence Evidence
	Status   int // of the answer, 0 without one
	// Further are the deliveries by that daemon.
	Further []Record
}

// proves reports whether the record proves that the request was not run by its receiver.
func (r Record) proves() bool {
	switch r.Evidence {
	case EndpointStates:
		return r.NotRun
	case DaemonStates:
		return r.NotRun && AllProve(r.Further)
	default:
		return false
	}
}

// AllProve reports whether all records prove that the request was not run.
func AllProve(all []Record) bool {
	return !slices.ContainsFunc(all, func(r Record) bool { return !r.proves() })
}

// String returns the form in log lines and in the protocol between daemons: the receiver, the
// result, the evidence and the status, and in parentheses the deliveries by that daemon, such as
// "i-7f3a not-run endpoint 503" or "10.1.0.2:7341 not-run daemon 503 (i-7f3a not-run endpoint 503)".
func (r Record) String() string {
	result := "may-have-run"
	if r.NotRun {
		result = "not-run"
	}
	text := fmt.Sprintf("%s %s %s %d", r.To, result, r.Evidence, r.Status)
	if len(r.Further) > 0 {
		text += " (" + Format(r.Further) + ")"
	}
	return text
}

// Format returns the text of records, separated by commas.
func Format(all []Record) string {
	texts := make([]string, len(all))
	for i, r := range all {
		texts[i] = r.String()
	}
	return strings.Join(texts, ", ")
}

// Parse returns the records of a text of Format, which may be empty. Records with further ones are
// an error: a daemon that got a request from another one sends it to endpoints alone.
func Parse(text string) ([]Record, error) {
	if text == "" {
		return nil, nil
	}
	var out []Record
	for item := range strings.SplitSeq(text, ", ") {
		fields := strings.Split(item, " ")
		if len(fields) != 4 {
			return nil, Error.New("record %q: %d fields, not 4", item, len(fields))
		}
		status, err := strconv.Atoi(fields[3])
		if err != nil {
			return nil, Error.New("record %q: status %q", item, fields[3])
		}
		r := Record{To: fields[0], Evidence: Evidence(fields[2]), Status: status}
		switch fields[1] {
		case "not-run":
			r.NotRun = true
		case "may-have-run":
		default:
			return nil, Error.New("record %q: result %q", item, fields[1])
		}
		out = append(out, r)
	}
	return out, nil
}
