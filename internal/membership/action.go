package membership

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Action is a request or a notification for the caller of a Membership: one of
// Send, Changed, DataCentreLost, DataCentreRecovered, NewerDigest, DeclaredDead.
type Action interface{ action() }

// Send requests that a packet be sent to a peer address.
type Send struct {
	To     string // host:port
	Packet *Packet
}

// Changed carries a new snapshot.
type Changed struct{ View *View }

// DataCentreLost reports that no daemon of a data centre answers. Its members
// are Dead in the next View.
type DataCentreLost struct{ DataCentre fleet.DataCentre }

// DataCentreRecovered revokes a DataCentreLost: a member of the data centre is up.
type DataCentreRecovered struct{ DataCentre fleet.DataCentre }

// NewerDigest reports a member whose configuration has changes that this
// daemon's lacks.
type NewerDigest struct{ Member Member }

// DeclaredDead reports that peers declared this daemon dead, alone or with its
// data centre, and that it has refuted this. Other daemons may have taken over
// what it owned.
type DeclaredDead struct{ Incarnation uint64 }

func (Send) action()                {}
func (Changed) action()             {}
func (DataCentreLost) action()      {}
func (DataCentreRecovered) action() {}
func (NewerDigest) action()         {}
func (DeclaredDead) action()        {}
