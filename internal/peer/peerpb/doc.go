// Package peerpb is the generated code of the messages between daemons.
// Regenerate with internal/peer/peerpb/generate.sh; needs protoc.
package peerpb
