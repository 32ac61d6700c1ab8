// Package placement decides which engine holds which model, adapter and version,
// and in which role: what is wanted where it already is, the rest spread over
// data centres, loaded in the order in which it is needed and no faster than
// the weight store gives it out.
//
// A new version is loaded beside the old one, or in its place where an engine
// has no room, and the old one goes only when enough of the new one serves.
// Orders repeat harmlessly: they are worked out from what engines report, so a
// successor without memory gives the same ones again. Figures are in
// docs/adr/0010-capacity.md.
package placement
