// Package speed estimates how fast the endpoints of a service are, relative to each other,
// from the streams that daemons relay.
//
// A Meter holds one daemon's observations of prefill and decoding. Daemons exchange them, since
// each sees less than one stream of most endpoints. The package is plain decision logic: no
// clock, goroutine or socket.
package speed
