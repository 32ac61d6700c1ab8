// Package gossip runs the protocol of internal/membership over UDP. One goroutine reads
// and decodes datagrams; another owns the Membership, calls its Tick, and sends. Received
// packets pass between them through a bounded ring buffer. When it is full, the oldest
// packet is dropped, which the protocol handles like a packet lost on the network.
//
// Datagrams are encrypted and authenticated with AES-GCM if keys are configured. Nonces
// are random, so a key should seal at most 2^32 datagrams (NIST SP 800-38D): with 340
// daemons that send five datagrams a second each, replace it every four weeks.
package gossip
