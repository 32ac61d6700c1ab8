// Package endpoint holds the clients of the endpoints: Engines for model
// engines and Services for plain services. Both bound the connections to each
// endpoint, never leave a silent connection in use, and give every failure a
// verdict on whether the endpoint may have run the request:
//
//   - nothing of the request was handed to a connection: not run;
//   - a model engine refused it with 400, 404, 409, 429 or 503 before the first
//     byte of an answer: not run, by the engine's contract that it starts
//     nothing that it refuses;
//   - the answer of a plain service was read: ran, but for 5xx, which an
//     intermediary or a replica that died half-way may have written;
//   - all else: may have run.
package endpoint
