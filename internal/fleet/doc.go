// Package fleet holds the identities and plain descriptions that every other
// package shares: data centres, regions, instances, workspaces and endpoints.
// It has no behaviour beyond comparison and formatting.
package fleet
