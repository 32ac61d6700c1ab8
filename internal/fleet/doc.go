// Package fleet holds the identifiers and descriptions that all other packages
// share: data centres, regions, instances, workspaces, endpoints and models.
package fleet
