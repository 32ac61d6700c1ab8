// Package explain reads the JSON logs of several daemons and shows, in order of
// time, what they say about one request, one version of the configuration or
// one endpoint, with what each daemon concerned knew just before.
package explain
