// Package scale holds benchmarks of what the control duties cost at the size
// of a large fleet, as far as the duties' own packages don't measure it. They
// drive decision types over plain values, and the clients over loopback, at
// three sizes or more, so that docs/CAPACITY.md can tell slopes from constants.
package scale
