// Package operator is the operators' API: closing templates with their history,
// the state that workspaces have reached, endpoints, entries and the audit
// trail. It has its own listener and its own credentials.
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

// TemplateInfo is a line of the list of templates.
type TemplateInfo struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Changes uint64 `json:"changes"`
	Who     string `json:"who"`  // of the last change
	When    string `json:"when"` // RFC 3339
}

// TemplateView is a template with its version.
type TemplateView struct {
	Name     string             `json:"name"`
	Version  uint64             `json:"version"`
	Deleted  bool               `json:"deleted,omitempty"`
	Template *template.Template `json:"template,omitempty"`
}

// Apply asks for a change. Repeating one with the same Operation is harmless.
type Apply struct {
	Expected  uint64          `json:"expected"`           // version that the operator saw; 0: there is none
	Template  json.RawMessage `json:"template,omitempty"` // JSON; absent when deleting
	Why       string          `json:"why"`
	Operation string          `json:"operation"` // UUIDv7, unique to this change
}

// ChangeResult says what became of a change.
type ChangeResult struct {
	Outcome    template.Outcome   `json:"outcome"` // accepted, unchanged, refused or unknown
	Version    uint64             `json:"version,omitempty"`
	Superseded bool               `json:"superseded,omitempty"` // accepted, and amended again since
	Current    uint64             `json:"current,omitempty"`
	Diff       []template.Line    `json:"diff,omitempty"`
	Problems   []template.Problem `json:"problems,omitempty"`
	Reason     string             `json:"reason,omitempty"`
}

// DaemonStatus says how far a version has come at one daemon.
type DaemonStatus struct {
	Instance fleet.InstanceID   `json:"instance"`
	State    template.Spreading `json:"state"`
	Newest   uint64             `json:"newest"`
}

// TemplateStatus says how far the stored version of a template has come.
type TemplateStatus struct {
	Name    string         `json:"name"`
	Version uint64         `json:"version"`
	InForce bool           `json:"inForce"` // at every daemon that can be reached
	Daemons []DaemonStatus `json:"daemons"`
}

// AuditEntry is an entry of an object's trail.
type AuditEntry struct {
	Object  string      `json:"object"`
	Version uint64      `json:"version"` // that the change made; 0 where a trail no longer tells
	Entry   audit.Entry `json:"entry"`
}

// Workspace states.
const (
	StateReady  = "ready"
	StateAtRisk = "at-risk"
	StateLate   = "late"
)

// WorkspaceStatus is the state that a workspace has reached.
type WorkspaceStatus struct {
	Workspace fleet.WorkspaceID `json:"workspace"`
	State     string            `json:"state"`
	Reason    string            `json:"reason,omitempty"`
	Closing   string            `json:"closing,omitempty"` // RFC 3339, the next one
	Running   int               `json:"running"`           // requests on the daemon that answers
}

// EndpointStatus is an endpoint as the daemon that answers sees it.
type EndpointStatus struct {
	fleet.Endpoint
	Draining bool `json:"draining,omitempty"`
}

// Drain asks that an endpoint get no new work, or get work again.
type Drain struct {
	Drain     bool   `json:"drain"`
	Why       string `json:"why"`
	Operation string `json:"operation"`
}

// EntryStatus is a daemon as membership knows it.
type EntryStatus struct {
	Instance   fleet.InstanceID `json:"instance"`
	Callers    string           `json:"callers"`
	Peers      string           `json:"peers"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
	State      string           `json:"state"`
	Templates  uint64           `json:"templates"` // newest version in force there
}
