// Package gossippb is the generated code of the datagrams of internal/gossip.
// Regenerate from the repository's root with
// internal/peer/peerpb/generate.sh internal/gossip/gossippb/gossip.proto.
package gossippb
