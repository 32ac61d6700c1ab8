// Package explain reads the JSON logs of several daemons and prints, in order of
// time, the lines about one request, one version of the configuration or one
// endpoint. Lines about a request come with the daemon's state just before.
package explain
