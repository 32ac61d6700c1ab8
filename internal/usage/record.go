package usage

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Record is the newest frozen window, as it is kept in the store.
type Record struct {
	Window uint64                       `json:"window"`
	Begun  map[fleet.WorkspaceID]uint64 `json:"begun"`
	// Era is the store's when the record was frozen, or an earlier one.
	Era uint64 `json:"era,omitempty"`
	// Daemons is how many there were, for daemons of an earlier release that start
	// again: they divide limits
	// by it until they hear of each other.
	Daemons int `json:"daemons,omitempty"`
}

// ActionKind is a call that is due.
type ActionKind uint8

// The kinds of action.
const (
	Nothing ActionKind = iota
	Read               // the record; answered by Found
	Freeze             // write Record if the stored one is at Revision; answered by Frozen or Unsure
	Send               // report Record; answered by Sent or SendFailed
)

// Action is a call that is due. Only one is under way at a time.
type Action struct {
	Kind     ActionKind
	Record   Record
	Revision uint64 // of the record that is replaced; 0 is none
}
