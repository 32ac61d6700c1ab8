// Package origin decides which software version of a service began a stream, so that the
// stream goes on at that version only. What two versions write doesn't fit together, and
// endpoints don't check it.
//
// A Table holds the origins that a daemon has recorded or received. Homes are the other
// daemons that hold a stream's origin too, since the daemon that began it may be gone when
// its caller takes it up. Versions records the versions that each service had, by which one
// version alone may have begun a stream; a Record of it is stored for daemons that start after
// all were killed, and so are the origins themselves (Streams) while several versions serve. The
// package is plain decision logic: no clock, goroutine or socket.
package origin
