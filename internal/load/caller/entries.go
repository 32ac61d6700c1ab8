package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// entriesAnswer is the body of GET /v1/entries.
type entriesAnswer struct {
	Entries []struct {
		Address    string           `json:"address"`
		DataCentre fleet.DataCentre `json:"dataCentre"`
	} `json:"entries"`
	MaxAgeSeconds int `json:"maxAgeSeconds"`
}

// fetchEntries requests a workspace's list of entries from one entry. It returns
// their addresses and how long to cache them.
func (c *Client) fetchEntries(ctx context.Context, address string, workspace int) ([]string, time.Duration, error) {
	r, err := c.request(ctx, http.MethodGet, address, EntriesPath, workspace, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	defer drain(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, 0, Error.New("%s answered %s", EntriesPath, resp.Status)
	}
	var a entriesAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	list := make([]string, len(a.Entries))
	for i, e := range a.Entries {
		list[i] = e.Address
	}
	return list, maxAge(resp.Header, a.MaxAgeSeconds), nil
}

// maxAge returns how long to cache a list: the max-age of Cache-Control, or else
// the body's seconds, or else the default.
func maxAge(h http.Header, seconds int) time.Duration {
	for part := range strings.SplitSeq(h.Get("Cache-Control"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "max-age=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	if seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return defaultMaxAge
}
