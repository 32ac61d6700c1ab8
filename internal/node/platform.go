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
)

// Platform is what a platform's adapter gives the daemon.
type Platform struct {
	Store objects.Store
	// Protocol is how endpoints are spoken to.
	Protocol relay.Protocol
	// Cloud takes usage reports and orders; nil where there are no duties.
	Cloud duty.Cloud
	// ConfigKind and ConfigName are where the configuration is in the store,
	// EndpointKind the kind of the endpoints' entries.
	ConfigKind, ConfigName, EndpointKind string
	DecodeTable                          func(spec []byte) (*route.Table, error)
	DecodeEndpoint                       func(now time.Time, o objects.Object) (roster.Endpoint, error)
	// RolloutKind is the kind of the orders for roll-outs; empty where there are none.
	RolloutKind string
	// DecodeOrder returns what can be read of an order beside the error.
	DecodeOrder func(o objects.Object) (rollout.Order, error)
	// DecodeRollout returns the target and the final phase that an order's status
	// names, EncodeRollout a status.
	DecodeRollout func(o objects.Object) (target string, p rollout.Phase, final bool)
	EncodeRollout func(target string, p rollout.Phase) (json.RawMessage, error)
	// Open opens the listeners for callers; the function it returns ends them
	// when the requests under way have ended, or its context.
	Open func(ctx context.Context, n *Node) (stop func(context.Context), err error)
}
