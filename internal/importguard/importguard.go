// Package importguard has no code but a test, which checks that the packages that
// make decisions do no I/O: they import no package for I/O, concurrency,
// randomness, logging or metrics, don't read the clock and start no goroutines.
package importguard
