// Package upstream sends relayed requests to endpoints over HTTP/1.1 and reads
// their answers, one request at a time on a connection, with a bound on the
// connections to each endpoint.
//
// It doesn't use http.Transport: that repeats a request by itself where a kept
// connection dies, and takes whatever answer comes next on a connection for
// the one that belongs to the last request. Here a request leaves exactly once
// for each Send, and an answer is checked to belong to it. Every error carries
// a verdict on whether the endpoint may have run the request.
package upstream
