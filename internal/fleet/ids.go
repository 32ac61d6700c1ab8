package fleet

// DataCentre names a failure domain: its instances can vanish together.
type DataCentre string

// Region names a group of data centres that are a few milliseconds apart.
type Region string

// InstanceID names one machine for as long as it exists; never reused.
type InstanceID string

// WorkspaceID names a customer. It comes from a verified credential only.
type WorkspaceID string

// EndpointID names a back end: a model engine or one replica of a plain service.
type EndpointID string

// RequestID names an accepted request: a UUIDv7 in canonical form. It is the
// caller's Idempotency-Key where one was sent.
type RequestID string

// DaemonID names one run of a daemon process; a restart gets a new one.
type DaemonID string
