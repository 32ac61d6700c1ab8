// Package quarantine decides which requests crash the endpoints that run them,
// so that no daemon of the fleet sends them on. Which endpoints ended, and under
// which requests, goes in; which requests are held comes out. The verdict is a
// plain decision; Table keeps what it is drawn from, under a lock of its own.
package quarantine
