package delivery

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRecordsRoundTrip(t *testing.T) {
	for _, all := range [][]Record{
		nil,
		{{To: "i-1", NotRun: true, Evidence: EndpointStates, Status: 503}},
		{{To: "i-1", NotRun: true, Evidence: EndpointStates, Status: 429}, {To: "i-2", Evidence: NoAnswer}},
	} {
		got, err := Parse(Format(all))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, all)
	}
}

func TestRecordsThatCannotBeReadAreErrors(t *testing.T) {
	nested := Record{To: "10.1.0.2:1", NotRun: true, Evidence: DaemonStates, Status: 503, Further: []Record{{To: "i-1", NotRun: true}}}
	for _, text := range []string{"x", "i-1 not-run endpoint", "i-1 perhaps endpoint 503", "i-1 not-run endpoint many", ", ", nested.String()} {
		_, err := Parse(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}

func TestBasisNamesTheWeakestDelivery(t *testing.T) {
	stated, daemon, open := Record{NotRun: true, Evidence: EndpointStates}, Record{NotRun: true, Evidence: DaemonStates}, Record{Evidence: NoAnswer}
	assert.Equal(t, BasisOf(nil), Unsent)
	assert.Equal(t, BasisOf([]Record{stated, stated}), Endpoints)
	assert.Equal(t, BasisOf([]Record{stated, daemon, stated}), Daemons)
	assert.Equal(t, BasisOf([]Record{stated, open, stated}), Nothing)
}

// Guards against a refusal while a request is on its way.
func TestDeliveryIsOpenUntilItIsSettled(t *testing.T) {
	l := NewLog()
	d, err := l.Begin("i-1")
	assert.NilError(t, err)
	assert.Equal(t, BasisOf(l.Records()), Nothing)
	d.Settle(Record{NotRun: true, Evidence: EndpointStates, Status: 503})
	assert.Equal(t, BasisOf(l.Records()), Endpoints)
	assert.Equal(t, l.Records()[0].To, "i-1")
}
