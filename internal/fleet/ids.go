package fleet

// DataCentre names a failure domain: its instances can fail or be reclaimed
// together.
type DataCentre string

// Region names a group of data centres with a few milliseconds between them.
type Region string

// InstanceID names one machine. It is never reused.
type InstanceID string

// WorkspaceID names a customer. It is taken only from a verified credential.
type WorkspaceID string

// EndpointID names a back end: a model engine or one replica of a plain service.
type EndpointID string

// RequestID names an accepted request: a UUIDv7 in canonical form. It is the
// caller's Idempotency-Key if one was sent.
type RequestID string

// DaemonID names one run of a daemon process; a restart gets a new one.
type DaemonID string
