package report

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"
)

// MetricsPath is the path of the metrics on daemons' listeners.
const MetricsPath = "/metrics"

// scrapeTimeout bounds the read of one daemon; a slower one is left out of the
// round, so that it doesn't delay the others.
const scrapeTimeout = 2 * time.Second

// Scrape reads one daemon's metrics.
func Scrape(ctx context.Context, client *http.Client, address string) (Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	r, err := sling.New().Base("http://" + address).Get(MetricsPath).Request()
	if err != nil {
		return Sample{}, Error.Wrap(err)
	}
	resp, err := client.Do(r.WithContext(ctx))
	if err != nil {
		return Sample{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Sample{}, Error.New("%s answered %s", address, resp.Status)
	}
	values, err := ParseMetrics(resp.Body)
	return Sample{Daemon: address, At: time.Now().UTC(), Values: values}, err
}

// Follow reads the daemons' metrics once a period until ctx ends, and writes
// each sample as one line of JSON. A daemon that can't be read is left out of
// the round, since daemons may start and stop meanwhile.
func Follow(ctx context.Context, w io.Writer, client *http.Client, addresses []string, period time.Duration) error {
	out := json.NewEncoder(w)
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		for _, s := range scrapeAll(ctx, client, addresses) {
			if err := out.Encode(s); err != nil {
				return Error.Wrap(err)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// scrapeAll reads all daemons concurrently, so that their values are from about
// the same time. Daemons that can't be read are left out.
func scrapeAll(ctx context.Context, client *http.Client, addresses []string) []Sample {
	found := make([]*Sample, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			if s, err := Scrape(ctx, client, address); err == nil {
				found[i] = &s
			}
		})
	}
	wg.Wait()
	samples := make([]Sample, 0, len(found))
	for _, s := range found {
		if s != nil {
			samples = append(samples, *s)
		}
	}
	return samples
}

// ReadSamples reads samples that Follow wrote. It skips a truncated last line,
// which a Follow that is killed while writing leaves behind.
func ReadSamples(r io.Reader) ([]Sample, error) {
	var samples []Sample
	d := json.NewDecoder(r)
	for {
		var s Sample
		err := d.Decode(&s)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return samples, nil
		}
		if err != nil {
			return samples, Error.Wrap(err)
		}
		samples = append(samples, s)
	}
}
