// Package gateway is the callers' HTTP API: authentication, model completions,
// plain services, the list of entries and the resumption of answers. It
// validates requests and writes answers as HTTP responses; requests are run by
// implementations of the interfaces in this package.
package gateway
