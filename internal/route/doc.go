// Package route holds the configuration that decides what may be done with a
// relayed request: its route by host and path, the services behind it, and the
// workspace that its credential belongs to. A Table is immutable; a newer
// configuration is a new Table. There is no I/O here.
package route
