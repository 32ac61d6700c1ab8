package usage

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Record is the newest frozen window, as stored.
type Record struct {
	Window uint64                       `json:"window"` // Unix time divided by the window's length
	Begun  map[fleet.WorkspaceID]uint64 `json:"begun"`  // requests begun in the window
	// Era is the store's era when the record was frozen, or an earlier one.
	Era uint64 `json:"era,omitempty"`
	// Daemons is the number of daemons, for restarted daemons of an earlier release:
	// they divide limits by it until they have discovered each other.
	Daemons int `json:"daemons,omitempty"`
}

// ActionKind is a kind of call to the store or the platform.
type ActionKind uint8

// The kinds of action.
const (
	Nothing ActionKind = iota
	Read               // read the record; followed by Found or Unsure
	Freeze             // write Record if the stored one is at Revision; followed by Frozen or Unsure
	Send               // report Record; followed by Sent or SendFailed
)

// Action is the next call to make. Only one is in flight at a time.
type Action struct {
	Kind     ActionKind
	Record   Record
	Revision uint64 // of the record to be replaced; 0 is none
}
