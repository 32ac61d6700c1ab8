package load

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// Schema is the version of Result's JSON form. It grows with every change that
// an older reader would misread.
const Schema = 1

// Result is one run's outcome.
type Result struct {
	Schema    int       `json:"schema"`
	Name      string    `json:"name,omitempty"`
	Policy    string    `json:"policy,omitempty"`
	GoVersion string    `json:"goVersion"`
	StartedAt time.Time `json:"startedAt"`
	Settings  Settings  `json:"settings"`
	Targets   Targets   `json:"targets"`

	// Goodput is answers within the target a second of the schedule.
	Goodput float64 `json:"goodput"`
	Cost    Cost    `json:"cost"`
	Engines Engines `json:"engines"`
	Checks  Checks  `json:"checks"`

	Answers    Section        `json:"answers"`  // requests to models
	Services   Section        `json:"services"` // calls of plain services
	Kinds      []NamedSection `json:"kinds"`
	Workspaces []NamedSection `json:"workspaces"` // requests to models
	Timeline   []Moment       `json:"timeline"`
	// Reasons counts why attempts failed, most frequent first; many a request
	// was answered all the same on a later attempt.
	Reasons   []ReasonCount `json:"reasons,omitempty"`
	Faults    []FaultRecord `json:"faults,omitempty"`
	Generator Generator     `json:"generator"`
}

// ReasonCount is how many attempts failed for a reason: the status and verdict
// of a failure answer, or what became of the connection.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// Settings is what a run depended on.
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

// Targets is the latency targets, already scaled.
type Targets struct {
	Scale               float64 `json:"scale"`
	FirstTokenMillis    float64 `json:"firstTokenMillis"`
	BetweenTokensMillis float64 `json:"betweenTokensMillis"` // mean over an answer
}

// Cost is what the engines of the instance list cost during the schedule, in
// the list's currency. Instances that start and are not listed yet are missing.
type Cost struct {
	Known bool    `json:"known"`
	Total float64 `json:"total"`
	// PerThousandWithin is nil where the cost is not known or nothing came in time.
	PerThousandWithin *float64 `json:"perThousandWithin"`
}

// Engines is the engines' own counters, after the run minus before. What an
// engine counted between its last reading and its end is missing.
type Engines struct {
	engineapi.Counters
	Count          int `json:"count"`          // engines seen
	FailedReadings int `json:"failedReadings"` // counters that could not be read
}

// Generator tells whether the tool kept up.
type Generator struct {
	SendLag     Distribution `json:"sendLag"` // actual less intended send time
	AskedAfresh int          `json:"askedAfresh"`
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
