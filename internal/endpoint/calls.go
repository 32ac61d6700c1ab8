package endpoint

import (
	"context"
	"errors"
	"net/url"
	"strconv"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Cancel stops a stream. ErrStreamGone means that there is nothing to stop.
func (e *Engines) Cancel(ctx context.Context, address, streamID string) error {
	c := e.newJSONCall(address)
	c.request = c.request.Delete(engineapi.StreamPath + url.PathEscape(streamID))
	c.notFound = ErrStreamGone
	return c.do(ctx)
}

// Load returns the engine's load report.
func (e *Engines) Load(ctx context.Context, address string) (engineapi.Load, error) {
	var load engineapi.Load
	c := e.newJSONCall(address)
	c.request = c.request.Get(engineapi.LoadPath)
	c.out = &load
	if err := c.do(ctx); err != nil {
		return engineapi.Load{}, err
	}
	return load, checkLoad(&load)
}

var errNoReport = errors.New("no load report")

// checkLoad returns an error for a report without what each one holds: the time at which it was taken, and the
// engine's slots. Any other JSON object would count as the report of an idle engine.
func checkLoad(l *engineapi.Load) error {
	if l.TakenAtMillis <= 0 || l.Slots <= 0 || l.Running < 0 || l.Queued < 0 {
		return verdict.Wrap(verdict.MayHaveRun, errors.Join(ErrMalformed, errNoReport))
	}
	return nil
}

// CacheEvents returns a page of the engine's cache events after since, which is 0
// or the Next of the previous page.
func (e *Engines) CacheEvents(ctx context.Context, address string, since uint64) (engineapi.CacheEvents, error) {
	var page engineapi.CacheEvents
	path := engineapi.EventsPath + "?since=" + strconv.FormatUint(since, 10)
	c := e.newJSONCall(address)
	c.request = c.request.Get(path)
	c.out = &page
	err := c.do(ctx)
	return page, err
}

// Export stops a stream and returns its KV cache. The time it takes depends on the
// blob's size and the engine's link, so only ctx bounds it.
func (e *Engines) Export(ctx context.Context, address, streamID string) (engineapi.KVBlob, error) {
	var blob engineapi.KVBlob
	req := engineapi.KVExport{StreamID: streamID}
	c := e.newJSONCall(address)
	c.request = c.request.Post(engineapi.ExportPath).BodyJSON(req)
	c.notFound = ErrStreamGone
	c.out = &blob
	c.timeout = 0
	err := c.do(ctx)
	return blob, err
}

// Import sends KV cache to an engine, for a completion that refers to the blob's
// id. Only ctx bounds the time.
func (e *Engines) Import(ctx context.Context, address string, blob *engineapi.KVBlob) error {
	c := e.newJSONCall(address)
	c.request = c.request.Post(engineapi.ImportPath).BodyJSON(blob)
	c.timeout = 0
	return c.do(ctx)
}

// Order sends an order to the engine. ErrFenced means that the engine has seen a
// higher fencing number, which the *StatusError holds.
func (e *Engines) Order(ctx context.Context, address string, order engineapi.Order) error {
	c := e.newJSONCall(address)
	c.request = c.request.Post(engineapi.OrdersPath).BodyJSON(order)
	return c.do(ctx)
}

// Models returns the models that the engine has loaded.
func (e *Engines) Models(ctx context.Context, address string) ([]fleet.ModelRef, error) {
	var models []fleet.ModelRef
	c := e.newJSONCall(address)
	c.request = c.request.Get(engineapi.ModelsPath)
	c.out = &models
	err := c.do(ctx)
	return models, err
}

// Counters returns the engine's totals.
func (e *Engines) Counters(ctx context.Context, address string) (engineapi.Counters, error) {
	var counters engineapi.Counters
	c := e.newJSONCall(address)
	c.request = c.request.Get(engineapi.CountersPath)
	c.out = &counters
	err := c.do(ctx)
	return counters, err
}
