// Package scaling decides how many endpoints a service should have in each data
// centre, by class. Reclaimable (spot) endpoints are cheap, but the cloud can take
// back all of them in a data centre at short notice; on-demand endpoints stay.
// The planner orders enough reclaimable endpoints to carry the load after whole
// data centres have lost theirs, and on-demand endpoints only for the shortfall.
//
// The package does no I/O and reads no clock: its inputs are samples and the
// current time, its outputs are orders.
package scaling
