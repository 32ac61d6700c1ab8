package deployment

import (
	"encoding/json"
	"io"
	"sync"
)

// Role says what listens at a ready line's address.
type Role string

// The roles. Ready has no address and comes last.
const (
	RoleEntry    Role = "entry"
	RoleOperator Role = "operator"
	RolePlatform Role = "platform"
	RoleEngine   Role = "engine"
	RoleService  Role = "service"
	RoleReady    Role = "ready"
)

// readyLine is one line on stdout.
type readyLine struct {
	Role    Role   `json:"role"`
	Address string `json:"address,omitempty"`
}

// Announcer writes a JSON object a line as listeners become ready.
type Announcer struct {
	mu  sync.Mutex
	enc *json.Encoder
}

// NewAnnouncer returns an announcer that writes to w.
func NewAnnouncer(w io.Writer) *Announcer {
	return &Announcer{enc: json.NewEncoder(w)}
}

// Ready says that a listener is ready. Whoever reads stdout may be gone, which
// is no reason to stop.
func (a *Announcer) Ready(role Role, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.enc.Encode(readyLine{Role: role, Address: address})
}

// Done says that everything is ready.
func (a *Announcer) Done() { a.Ready(RoleReady, "") }
