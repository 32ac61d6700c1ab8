// Package upstream sends relayed requests to endpoints over HTTP/1.1 and reads
// their answers, one request at a time on a connection, with a bound on the
// connections to each endpoint.
//
// It doesn't use http.Transport, which retries a request by itself when a reused
// connection breaks, and assigns the next answer on a connection to the last
// request without a check. Here each Send sends its request at most once, and
// checks that the answer belongs to it. Every error of Send carries a verdict on
// whether the endpoint may have run the request.
package upstream
