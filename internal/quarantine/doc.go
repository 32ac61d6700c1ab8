// Package quarantine finds the requests that crash the endpoints that run them, and the
// parts of prompts that do so whatever else a request holds, so that the daemons hold
// them: refuse to send them to endpoints. The input is the crashes of endpoints, each with
// the requests that ran there and their prompts, and what endpoints have run since, as
// reported by all daemons of the fleet. Table stores them and is safe for concurrent use;
// diagnose and partQuery, which find the causes among them, take no other input.
package quarantine
