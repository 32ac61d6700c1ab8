package node

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

const (
	// maxInvalidEndpoints bounds the endpoints with series of their own, each of which has one for each kind.
	maxInvalidEndpoints = 32
	// otherEndpoints is the label of all further ones, and of those that aren't known.
	otherEndpoints = "other"
)

// invalidCounts counts invalid answers by endpoint and kind, for a bounded number of endpoints. The zero
// value is ready for use.
type invalidCounts struct {
	mu         sync.Mutex
	byEndpoint map[fleet.EndpointID]map[string]uint64 // then by kind
	other      map[string]uint64                      // by kind
}

// add counts an invalid answer. The endpoint is empty if it isn't known.
func (c *invalidCounts) add(e fleet.EndpointID, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds := c.byEndpoint[e]
	switch {
	case kinds != nil:
	case e == "" || len(c.byEndpoint) >= maxInvalidEndpoints:
		if c.other == nil {
			c.other = map[string]uint64{}
		}
		kinds = c.other
	default:
		if c.byEndpoint == nil {
			c.byEndpoint = map[fleet.EndpointID]map[string]uint64{}
		}
		kinds = map[string]uint64{}
		c.byEndpoint[e] = kinds
	}
	kinds[kind]++
}

// retain removes the endpoints that aren't listed.
func (c *invalidCounts) retain(listed []roster.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byEndpoint) == 0 {
		return
	}
	kept := map[fleet.EndpointID]map[string]uint64{}
	for i := range listed {
		if kinds := c.byEndpoint[listed[i].ID]; kinds != nil {
			kept[listed[i].ID] = kinds
		}
	}
	c.byEndpoint = kept
}

// write writes the counts in the text format of metrics.
func (c *invalidCounts) write(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range slices.Sorted(maps.Keys(c.byEndpoint)) {
		writeKinds(w, string(e), c.byEndpoint[e])
	}
	writeKinds(w, otherEndpoints, c.other)
}

func writeKinds(w io.Writer, endpoint string, kinds map[string]uint64) {
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(w, "cyclamenbeam_endpoint_invalid_answers_total{endpoint=%q,kind=%q} %d\n", endpoint, kind, kinds[kind])
	}
}
