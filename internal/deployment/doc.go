// Package deployment lays out the small deployment that ships with the binary:
// stand-ins of the platform, of engines and of a plain service in four data
// centres, and a few daemons. It runs in one process for trying the system out,
// or is written as settings of real processes.
package deployment
