// Package placement decides which engine holds which model, adapter and version,
// and in which role. Wanted replicas stay where they are; missing ones are spread
// over the data centres and loaded in order of urgency, no faster than the weight
// store can deliver.
//
// A new version is loaded beside the old one, or in its place where an engine has no
// room, and the old one is unloaded only when enough replicas of the new one serve.
// Orders are idempotent and follow from what engines report, so a successor without
// the planner's state gives the same ones again. Figures are in
// docs/adr/0010-capacity.md.
package placement
