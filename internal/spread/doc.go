// Package spread distributes a versioned text, such as a configuration, from daemons
// that have its newest version to those that don't.
//
// A daemon fetches from one source at a time, only the difference to the version that
// it has, and in pieces, so that an interrupted call loses one piece and not what came
// before it. If a text of a megabyte were sent whole to each daemon, by several
// sources at once and with a time limit for each transfer, every transfer over a slow
// link would time out and start over without end, and block all other traffic.
//
// The types of this package are plain decision logic: they are not safe for concurrent
// use.
package spread
