// Package progress watches transfers while they run.
package progress
