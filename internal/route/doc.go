// Package route holds the configuration for relayed requests: the route by host
// and path, the services behind it, and the workspace that a credential belongs
// to. A Table is immutable; a new version of the configuration is a new Table. The
// package does no I/O.
package route
