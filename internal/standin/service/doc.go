// Package service is a small stand-in of the plain service "parts": orders,
// which must not be repeated and are counted by idempotency key, and stock
// lookups, which may be. It speaks internal/serviceapi.
package service
