package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

func TestMissedTargetOfAnAnswer(t *testing.T) {
	r := &route.Route{Target: 500 * time.Millisecond, PauseTarget: 400 * time.Millisecond}
	for _, c := range []struct {
		outcome Outcome
		want    Late
	}{
		{Outcome{First: 500 * time.Millisecond, LongestPause: 400 * time.Millisecond}, InTime},
		{Outcome{First: 501 * time.Millisecond, LongestPause: time.Second}, LateFirst},
		{Outcome{First: time.Millisecond, LongestPause: 401 * time.Millisecond}, LatePause},
		{Outcome{First: time.Second, Reason: Broken}, InTime},
		{Outcome{First: time.Second, Failed: true}, InTime},
	} {
		c.outcome.noteLate(r)
		assert.Equal(t, c.outcome.Late, c.want, "%+v", c.outcome)
	}
	untargeted := Outcome{First: time.Hour, LongestPause: time.Hour}
	untargeted.noteLate(&route.Route{})
	assert.Equal(t, untargeted.Late, InTime)
}
