package outside

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// watchSlack is how much later than its wait a watch may be answered.
const watchSlack = 5 * time.Second

type watchQuery struct {
	Kinds string `url:"kinds"`
	Since uint64 `url:"since"`
	Wait  int64  `url:"wait"` // milliseconds
}

// Watch returns the changes of the kinds after since, waiting up to wait for
// the first; Gone when the store no longer has them all.
func (o Objects) Watch(ctx context.Context, kinds []string, since uint64, wait time.Duration) (objectapi.WatchAnswer, error) {
	query := watchQuery{Kinds: strings.Join(kinds, ","), Since: since, Wait: wait.Milliseconds()}
	req, err := o.caller.base.New().Get(objectapi.WatchPath).QueryStruct(query).Request()
	if err != nil {
		return objectapi.WatchAnswer{}, Error.Wrap(err)
	}
	call := o.read("watch", "", listLimit)
	call.timeout = wait + watchSlack
	guarded, done := o.caller.silence.guard(ctx)
	defer done()
	answer, err := decoded[objectapi.WatchAnswer](o.caller.do(guarded, call, req))
	switch {
	case statusOf(err) == http.StatusGone:
		return answer, &Gone{}
	case err != nil && errors.Is(context.Cause(guarded), errSuspected):
		// No change is known: the caller watches again at once.
		return objectapi.WatchAnswer{Version: since}, nil
	}
	return answer, err
}
