package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
)

// Guards against retries that are refused without a line, and against lines while none are.
func TestRefusedRetriesAreLoggedBySecond(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	l := newRetryLog(&Node{log: log})
	for _, c := range []retry.Totals{{Retries: 3}, {Retries: 5, Refused: 2}, {Retries: 5, Refused: 2}, {Retries: 6, Refused: 9}} {
		l.update(map[string]retry.Status{"parts": {Totals: c, Left: 0.5, Daemons: 6}})
	}
	assert.Equal(t, strings.Count(out.String(), `msg="retries refused"`), 2, out.String())
	assert.Assert(t, strings.Contains(out.String(), "refused=7"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "daemons=6"), out.String())
}
