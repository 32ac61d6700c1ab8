// Package quarantine finds the requests that crash the endpoints that run them,
// so that the daemons hold them: refuse to send them to endpoints. The input is
// the crashes of endpoints, each with the requests that ran there, as reported by
// all daemons of the fleet. Table stores them and is safe for concurrent use;
// diagnose, which finds the causes among them, is a pure function.
package quarantine
