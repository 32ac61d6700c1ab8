// Package operator is the operators' HTTP API, with its client: closing templates
// and their history, the state of workspaces, endpoints, entries and the audit
// trail. It has its own listener and its own credentials. A closing template
// configures workspaces: their models and services, and the closing, which is a
// period of peak work with a fixed end.
package operator

import (
	"encoding/json"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// Paths of the API. {name} is a template's, {id} an endpoint's.
const (
	TemplatesPath  = "/v1/templates"  // GET: []TemplateInfo
	TemplatePath   = "/v1/templates/" // {name} GET: TemplateView; PUT Apply: ChangeResult; DELETE Apply: ChangeResult; {name}/history GET: []AuditEntry; {name}/status GET: TemplateStatus
	WorkspacesPath = "/v1/workspaces" // GET: []WorkspaceStatus
	EndpointsPath  = "/v1/endpoints"  // GET: []EndpointStatus
	EndpointPath   = "/v1/endpoints/" // {id}/drain POST Drain: ChangeResult
	EntriesPath    = "/v1/entries"    // GET: []EntryStatus
	AuditPath      = "/v1/audit"      // GET: []AuditEntry
)

// TemplateInfo is an element of the list of templates.
type TemplateInfo struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Changes uint64 `json:"changes"` // number of changes so far
	Who     string `json:"who"`     // operator of the last change
	When    string `json:"when"`    // time of the last change, RFC 3339
}

// TemplateView is a template with its version.
type TemplateView struct {
	Name     string             `json:"name"`
	Version  uint64             `json:"version"`
	Deleted  bool               `json:"deleted,omitempty"`
	Template *template.Template `json:"template,omitempty"`
}

// Apply is the request body of a change to a template. It is idempotent: a
// repetition with the same Operation has no further effect.
type Apply struct {
	Expected  uint64          `json:"expected"`           // stored version that the change replaces; 0: none is stored
	Template  json.RawMessage `json:"template,omitempty"` // JSON; absent when deleting
	Why       string          `json:"why"`
	Operation string          `json:"operation"` // UUIDv7, unique to this change
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	Outcome    template.Outcome    `json:"outcome"`              // accepted, unchanged, refused or unknown
	Version    uint64              `json:"version,omitempty"`    // of the template, if accepted or unchanged
	Superseded bool                `json:"superseded,omitempty"` // accepted, and replaced by a later change since
	Current    uint64              `json:"current,omitempty"`    // stored version
	Diff       []template.DiffLine `json:"diff,omitempty"`       // from the stored template to the requested one, if refused with a version conflict
	Problems   []template.Problem  `json:"problems,omitempty"`   // mistakes in the change or its template
	Reason     string              `json:"reason,omitempty"`     // why it was refused or is unknown
}

// DaemonStatus reports whether a version of a template is in force at one daemon.
type DaemonStatus struct {
	Instance fleet.InstanceID     `json:"instance"`
	State    template.Propagation `json:"state"`
	Newest   uint64               `json:"newest"` // highest version of any template there
}

// TemplateStatus reports which daemons have the stored version of a template in force.
type TemplateStatus struct {
	Name    string         `json:"name"`
	Version uint64         `json:"version"`
	InForce bool           `json:"inForce"` // at every reachable daemon
	Daemons []DaemonStatus `json:"daemons"`
}

// AuditEntry is an entry of a stored object's audit trail.
type AuditEntry struct {
	Object  string      `json:"object"`
	Version uint64      `json:"version"` // that the change made; 0 if not known
	Entry   audit.Entry `json:"entry"`
}

// Workspace states.
const (
	StateReady  = "ready"   // every model has the engines that the template asks for
	StateAtRisk = "at-risk" // a model has too few engines, or only engines with another version of it
	StateLate   = "late"    // a model has no engine
)

// WorkspaceStatus is the state of a workspace and the reason for it.
type WorkspaceStatus struct {
	Workspace fleet.WorkspaceID `json:"workspace"`
	State     string            `json:"state"`
	Reason    string            `json:"reason,omitempty"`
	Closing   string            `json:"closing,omitempty"` // time of the next closing, RFC 3339
	Running   int               `json:"running"`           // requests running on the daemon that answers the call
}

// EndpointStatus is an endpoint in the view of the daemon that answers the call.
type EndpointStatus struct {
	fleet.Endpoint
	Draining bool `json:"draining,omitempty"`
}

// Drain is the request body that starts or ends the draining of an endpoint: a
// draining endpoint gets no new requests.
type Drain struct {
	Drain     bool   `json:"drain"`
	Why       string `json:"why"`
	Operation string `json:"operation"` // as in Apply
}

// EntryStatus is a daemon in the membership view of the daemon that answers the call.
type EntryStatus struct {
	Instance   fleet.InstanceID `json:"instance"`
	Callers    string           `json:"callers"` // host:port of the callers' listener
	Peers      string           `json:"peers"`   // host:port of the peers' listener
	DataCentre fleet.DataCentre `json:"dataCentre"`
	State      string           `json:"state"`
	Templates  uint64           `json:"templates"` // newest version in force there
}
