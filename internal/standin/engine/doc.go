// Package engine is a small stand-in of a model engine: continuous batching
// over a few slots, a queue by priority, serialised prefill, a prefix cache in
// limited memory, resumable streams, KV export and import, orders with
// fencing, late and lossy cache events and lagging load reports. It speaks
// internal/engineapi and computes no model: token i of an answer is a pure
// function of the prompt's hash and i.
package engine
