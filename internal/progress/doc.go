// Package progress watches transfers while they run, and bounds them by their
// silence in place of their length.
//
// Failure: a transfer is bounded by its length alone; its bytes grow, or its
// link is shared, until it takes longer. Symptom: each try is cut and begins
// again from nothing; the link is full and nothing ever arrives.
package progress
