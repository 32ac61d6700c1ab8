package load

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// Schema is the version of the JSON encoding of Result. It is incremented with
// every incompatible change.
const Schema = 1

// Result is the outcome of one run.
type Result struct {
	Schema    int       `json:"schema"`
	Name      string    `json:"name,omitempty"`
	Policy    string    `json:"policy,omitempty"`
	GoVersion string    `json:"goVersion"`
	StartedAt time.Time `json:"startedAt"`
	Settings  Settings  `json:"settings"`
	Targets   Targets   `json:"targets"`

	// Goodput is answers within the target per second of the schedule.
	Goodput float64 `json:"goodput"`
	Cost    Cost    `json:"cost"`
	Engines Engines `json:"engines"`
	Checks  Checks  `json:"checks"`

	Answers    Section        `json:"answers"`  // requests to models
	Services   Section        `json:"services"` // calls of plain services
	Kinds      []NamedSection `json:"kinds"`
	Workspaces []NamedSection `json:"workspaces"` // requests to models
	Timeline   []Moment       `json:"timeline"`
	// Reasons counts failed attempts by reason, most frequent first. Their
	// requests may have been answered on a later attempt.
	Reasons   []ReasonCount `json:"reasons,omitempty"`
	Faults    []FaultRecord `json:"faults,omitempty"`
	Generator Generator     `json:"generator"`
}

// ReasonCount is the number of attempts that failed for a reason: the status and
// verdict of a failure answer, or the fault of the connection.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// Settings is the settings of a run.
type Settings struct {
	Seed         uint64               `json:"seed"`
	Mix          string               `json:"mix"`
	Model        string               `json:"model"`
	Rate         float64              `json:"rate"` // requests a second
	Load         float64              `json:"load,omitempty"`
	Capacity     float64              `json:"capacity,omitempty"`
	Seconds      float64              `json:"seconds"`
	Requests     int                  `json:"requests"` // in the schedule
	InFlight     int                  `json:"inFlight"`
	TargetScale  float64              `json:"targetScale"`
	TokenScale   float64              `json:"tokenScale"`
	Bursts       workload.Bursts      `json:"bursts"`
	Workspaces   []workload.Workspace `json:"workspaces"`
	ScheduleHash uint64               `json:"scheduleHash,string"`
}

// Targets is the latency targets after scaling.
type Targets struct {
	Scale               float64 `json:"scale"`
	FirstTokenMillis    float64 `json:"firstTokenMillis"`
	BetweenTokensMillis float64 `json:"betweenTokensMillis"` // mean over an answer
}

// Cost is the cost of the engines of the instance list during the schedule, in
// the list's currency. Instances that have started but are not listed yet are not
// included.
type Cost struct {
	Known bool    `json:"known"`
	Total float64 `json:"total"`
	// PerThousandWithin is the cost of 1,000 answers within the target; nil if the
	// cost is not known or no answer was within the target.
	PerThousandWithin *float64 `json:"perThousandWithin"`
}

// Engines is the sums of the engines' own counters over the run. Counts between
// an engine's last reading and its end are not included.
type Engines struct {
	engineapi.Counters
	Count          int `json:"count"`          // engines seen
	FailedReadings int `json:"failedReadings"` // counters that could not be read
}

// Generator is the figures of the load generator itself. They show whether it
// kept to the schedule.
type Generator struct {
	SendLag            Distribution `json:"sendLag"`     // actual less intended send time
	SentWithoutHistory int          `json:"askedAfresh"` // requests sent without their earlier turns
}

// Write writes the result as JSON.
func (r *Result) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return Error.Wrap(e.Encode(r))
}

// ReadResult reads a result that Write wrote.
func ReadResult(r io.Reader) (*Result, error) {
	var res Result
	if err := json.NewDecoder(r).Decode(&res); err != nil {
		return nil, Error.Wrap(err)
	}
	if res.Schema != Schema {
		return nil, Error.New("the result has schema %d; this program reads %d", res.Schema, Schema)
	}
	return &res, nil
}
