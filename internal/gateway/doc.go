// Package gateway is the callers' HTTP API: authentication, model completions,
// plain services, the list of entries and the resumption of answers. It checks
// what strangers send and turns answers into HTTP; running a request is behind
// the interfaces in this package.
package gateway
