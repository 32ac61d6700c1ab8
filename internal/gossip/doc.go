// Package gossip carries internal/membership over UDP: one goroutine reads and
// decodes datagrams, one owns the Membership, drives its clock and sends. A
// bounded ring joins them; when it is full the oldest packet is dropped, which
// the protocol takes for a lost one.
//
// Datagrams are sealed with AES-GCM where keys are given. Nonces are random, so
// a key should seal at most 2^32 datagrams (NIST SP 800-38D): at 340 daemons
// and five datagrams a second each, replace it every four weeks.
package gossip
