// Package importguard keeps decisions apart from I/O: its test reads the
// imports of the decision packages.
package importguard
