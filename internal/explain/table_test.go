package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const failureLogs = `
a {"msg":"not answered","part":"requests","route":"r1","reason":"over-limit","time":"2026-12-02T10:00:01.100Z"}
a {"msg":"not answered","part":"requests","route":"r1","reason":"over-limit","time":"2026-12-02T10:00:01.900Z"}
b {"msg":"not answered","part":"requests","route":"r2","reason":"broken","time":"2026-12-02T10:00:02.000Z"}
b {"msg":"failed by its endpoint","part":"requests","route":"r2","status":500,"time":"2026-12-02T10:00:02.100Z"}
b {"msg":"answered","part":"requests","route":"r1","late":"pause","time":"2026-12-02T10:00:02.200Z"}
b {"msg":"answered","part":"requests","route":"r1","time":"2026-12-02T10:00:02.300Z"}
b {"msg":"endpoint gone","part":"endpoints","reason":"x","time":"2026-12-02T10:00:02.300Z"}
b {"msg":"not answered","part":"requests","reason":"no-route","time":"2026-12-02T10:00:03.300Z"}
`

func TestTableCountsUnsuccessfulRequests(t *testing.T) {
	lines, err := Read("file", strings.NewReader(failureLogs))
	assert.NilError(t, err)
	var b strings.Builder
	n, err := WriteTable(&b, lines)
	assert.NilError(t, err)
	assert.Equal(t, n, 6)
	assert.Equal(t, b.String(), `reason              all  share  (no route)  r1  r2
over-limit          2    0.333  0           2   0
broken              1    0.167  0           0   1
failed by endpoint  1    0.167  0           0   1
no-route            1    0.167  1           0   0
pause late          1    0.167  0           1   0

second    broken  failed by endpoint  no-route  over-limit  pause late
10:00:01  0       0                   0         2           0
10:00:02  1       1                   0         0           1
10:00:03  0       0                   1         0           0
`)
}
