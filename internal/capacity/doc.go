// Package capacity decides which instances to buy, to keep and to give back. It
// plans the cheapest mix of data centres and machine classes that can still serve
// the demand after the loss of the largest data centre.
//
// Launches are idempotent across planners. The wanted instances are listed in a
// Record, which the caller writes to the object API before it carries out a
// launch. The client token of a launch is derived from its Intent in the record,
// so a later planner repeats the launch with the same token and never buys twice.
// Measurements and the alternatives considered are in docs/adr/0010-capacity.md.
package capacity
