// Package quarantine decides which requests crash the endpoints that run them,
// so that no daemon of the fleet sends them on. It is a plain decision: which
// endpoints ended, and under which requests, in; which requests are held, out.
package quarantine
