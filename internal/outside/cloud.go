package outside

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/dghubble/sling"
)

// cloudTimeout bounds a call to the cloud, which is slower than the store.
const cloudTimeout = 10 * time.Second

// Cloud is the client of the cloud API.
type Cloud struct {
	caller *caller
}

// MarketRefusal is a launch that the market refuses: there is no such capacity
// now, or its client token is spent. It had no effect.
type MarketRefusal struct {
	Reason string
}

func (e *MarketRefusal) Error() string { return "the market refuses: " + e.Reason }

// Launch buys an instance. The same launch may be repeated after Ambiguous:
// its client token never buys twice. MarketRefusal says to try elsewhere.
func (c Cloud) Launch(ctx context.Context, l cloudapi.Launch) (cloudapi.Instance, error) {
	body, err := json.Marshal(l)
	if err != nil {
		return cloudapi.Instance{}, Error.Wrap(err)
	}
	request := c.caller.base.New().Post(cloudapi.InstancesPath).Set("Content-Type", "application/json")
	a, err := c.write(ctx, "launch", request, body)
	if statusOf(err) == http.StatusConflict {
		var refusal cloudapi.Refusal
		_ = json.Unmarshal(a.body, &refusal) // an unreadable reason is still a refusal
		return cloudapi.Instance{}, &MarketRefusal{Reason: refusal.Error}
	}
	if err != nil {
		return cloudapi.Instance{}, err
	}
	return launchedInstance(a)
}

// launchedInstance reads the answer to a launch that took effect. One that
// can't be read leaves the instance unknown, like a lost answer.
func launchedInstance(a answer) (cloudapi.Instance, error) {
	var instance cloudapi.Instance
	if err := json.Unmarshal(a.body, &instance); err != nil {
		return cloudapi.Instance{}, ambiguous(err)
	}
	if instance.ID == "" {
		return cloudapi.Instance{}, ambiguous(Error.New("the answer has no instance"))
	}
	return instance, nil
}

// End gives an instance back. Ending one that has ended does nothing.
func (c Cloud) End(ctx context.Context, id fleet.InstanceID) error {
	path := cloudapi.InstancesPath + "/" + url.PathEscape(string(id))
	_, err := c.write(ctx, "end", c.caller.base.New().Delete(path), nil)
	if statusOf(err) == http.StatusNotFound {
		return &NotFound{Kind: "instance", Name: string(id)}
	}
	return err
}

// Instances returns the bought instances that have not ended.
func (c Cloud) Instances(ctx context.Context) ([]cloudapi.Instance, error) {
	request := c.caller.base.New().Get(cloudapi.InstancesPath)
	return decoded[[]cloudapi.Instance](c.read(ctx, "instances", request, 0))
}

// Prices returns what each class costs in each data centre.
func (c Cloud) Prices(ctx context.Context) ([]cloudapi.Price, error) {
	request := c.caller.base.New().Get(cloudapi.PricesPath)
	return decoded[[]cloudapi.Price](c.read(ctx, "prices", request, 0))
}

type noticeQuery struct {
	Since uint64 `url:"since"`
	Wait  int64  `url:"wait"` // milliseconds
}

// Notices returns the notices after since, waiting up to wait for the first.
func (c Cloud) Notices(ctx context.Context, since uint64, wait time.Duration) (cloudapi.Notices, error) {
	query := noticeQuery{Since: since, Wait: wait.Milliseconds()}
	request := c.caller.base.New().Get(cloudapi.NoticesPath).QueryStruct(query)
	return decoded[cloudapi.Notices](c.read(ctx, "notices", request, wait))
}

func (c Cloud) read(ctx context.Context, op string, request *sling.Sling, wait time.Duration) (answer, error) {
	req, err := request.Request()
	if err != nil {
		return answer{}, Error.Wrap(err)
	}
	call := operation{
		kind:    budget.CloudCall,
		class:   budget.Configuration,
		op:      op,
		timeout: cloudTimeout + wait,
		limit:   listLimit,
	}
	return c.caller.do(ctx, call, req)
}

// write makes a call with an effect. The cloud states no contract about its
// 503, so one leaves the outcome open.
func (c Cloud) write(ctx context.Context, op string, request *sling.Sling, body []byte) (answer, error) {
	req, err := request.Request()
	if err != nil {
		return answer{}, Error.Wrap(err)
	}
	sendOnce(req, body)
	call := operation{
		kind:    budget.CloudCall,
		class:   budget.Configuration,
		op:      op,
		write:   true,
		timeout: cloudTimeout,
		limit:   objectLimit,
	}
	return c.caller.do(ctx, call, req)
}
