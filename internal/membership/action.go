package membership

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Action is what the caller of a Membership has to do or may want to know.
// One of Send, Changed, DataCentreLost, DataCentreRecovered, NewerDigest, DeclaredDead.
type Action interface{ action() }

// Send asks for a packet to be sent to a peer address.
type Send struct {
	To     string // host:port
	Packet *Packet
}

// Changed carries a new snapshot.
type Changed struct{ View *View }

// DataCentreLost says that a whole data centre stopped answering. Its members
// are Dead in the next View.
type DataCentreLost struct{ DataCentre fleet.DataCentre }

// DataCentreRecovered takes a DataCentreLost back: a member answered.
type DataCentreRecovered struct{ DataCentre fleet.DataCentre }

// NewerDigest names a member whose configuration has something that ours lacks.
type NewerDigest struct{ Member Member }

// DeclaredDead says that peers held this daemon for dead, alone or with its
// data centre. What it owned may have been taken over. It has refuted it.
type DeclaredDead struct{ Incarnation uint64 }

func (Send) action()                {}
func (Changed) action()             {}
func (DataCentreLost) action()      {}
func (DataCentreRecovered) action() {}
func (NewerDigest) action()         {}
func (DeclaredDead) action()        {}
