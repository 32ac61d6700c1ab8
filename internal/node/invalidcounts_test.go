package node

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Guards against series without a bound while endpoints come and go for months, and endpoints that get no
// series since those before them, which are gone, hold all.
func TestInvalidAnswersHaveABoundedNumberOfSeries(t *testing.T) {
	var c invalidCounts
	written := func() string {
		var b strings.Builder
		c.write(&b)
		return b.String()
	}
	assert.Equal(t, written(), "")
	for generation := range 100 {
		var listed []roster.Endpoint
		for i := range maxInvalidEndpoints + 10 {
			e := fleet.EndpointID(fmt.Sprintf("i-%d-%d", generation, i))
			listed = append(listed, roster.Endpoint{ID: e})
		}
		c.retain(listed)
		for i := range listed {
			c.add(listed[i].ID, "missing-id")
		}
		c.add(listed[0].ID, "missing-id")
		c.add("", "not-text")
		text := written()
		assert.Equal(t, strings.Count(text, "\n"), maxInvalidEndpoints+2)
		assert.Assert(t, strings.HasPrefix(text, fmt.Sprintf("cyclamenbeam_endpoint_invalid_answers_total{endpoint=\"i-%d-0\",kind=\"missing-id\"} 2\n", generation)), text)
		assert.Assert(t, strings.HasSuffix(text, fmt.Sprintf("{endpoint=\"other\",kind=\"missing-id\"} %d\n"+
			"cyclamenbeam_endpoint_invalid_answers_total{endpoint=\"other\",kind=\"not-text\"} %d\n", 10*(generation+1), generation+1)), text)
	}
	c.retain(nil)
	assert.Equal(t, strings.Count(written(), "\n"), 2)
}
