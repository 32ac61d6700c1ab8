// Package endpoint holds the clients of the endpoints: Engines for model
// engines and Services for plain services. Both bound the connections to each
// endpoint, stop using connections on which nothing arrives, and give every
// failure a verdict on whether the endpoint may have run the request:
//
//   - nothing of the request was handed to a connection: not run;
//   - a model engine refused it with 400, 404, 409, 429 or 503 before the first
//     byte of an answer: not run, since engines start nothing that they refuse;
//   - the answer of a plain service was read: ran, except for 5xx, which may come
//     from an intermediary or a replica that failed half-way;
//   - everything else: may have run.
package endpoint
