package main

import (
	"context"
	"net/http"
)

// ctxClient makes a request that ends when gone is closed.
func ctxClient(c *http.Client, r *http.Request, gone <-chan struct{}, use func(*http.Response, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	resp, err := c.Do(r.WithContext(ctx))
	if err == nil {
		defer resp.Body.Close()
	}
	use(resp, err)
}
