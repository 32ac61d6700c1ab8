// Package budget decides when a daemon may call the platform. The platform's
// rates are for the whole fleet, and daemons don't coordinate before a call, so each keeps to
// its share of them: a token bucket for each kind of
// call, with a reserve that only the more urgent classes may use, a circuit
// breaker for each API, and jitter wherever many daemons would call at once
// (start, the end of an outage, a change that all of them see).
//
// Some duties are those of few daemons: each shard of the ledger has one writer, each control
// shard one holder of its lease. Parts of the rates are reserved for them and follow the role. See docs/adr/0012-platform-budget.md.
//
// The package does no I/O: methods take now and return decisions.
package budget
