package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/duty"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Platform is what the daemon needs of a platform.
type Platform struct {
	Store objects.Store
	// Protocol is the protocol of the endpoints.
	Protocol relay.Protocol
	// Dial connects to endpoints; nil is upstream.DialTCP.
	Dial upstream.Dialer
	// DialDaemon connects to other daemons for requests that go through them; nil is
	// upstream.DialTCP.
	DialDaemon upstream.Dialer
	// Cloud takes usage reports and orders for endpoints; nil where there are no duties.
	Cloud duty.Cloud
	// ConfigKind and ConfigName are the kind and name of the configuration's object in the
	// store, EndpointKind is the kind of the endpoints' entries.
	ConfigKind, ConfigName, EndpointKind string
	DecodeTable                          func(spec []byte) (*route.Table, error)
	DecodeEndpoint                       func(now time.Time, o objects.Object) (roster.Endpoint, error)
	// RolloutKind is the kind of the orders for roll-outs; empty where there are none.
	RolloutKind string
	// DecodeOrder decodes an order. Beside an error it returns the fields that could be
	// decoded.
	DecodeOrder func(o objects.Object) (rollout.Order, error)
	// DecodeRollout returns the target and phase of an order's status, and whether the phase
	// is final; EncodeRollout returns a status.
	DecodeRollout func(o objects.Object) (target string, p rollout.Phase, final bool)
	EncodeRollout func(target string, p rollout.Phase) (json.RawMessage, error)
	// Open opens the listeners for callers. The function that it returns closes them once
	// their requests have ended, or when its context ends.
	Open func(ctx context.Context, n *Node) (stop func(context.Context), err error)
}
