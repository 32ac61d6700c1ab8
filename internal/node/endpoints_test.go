package node

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// addresses returns the listed endpoints' addresses by name.
func addresses(d *endpointList) map[fleet.EndpointID]string {
	out := map[fleet.EndpointID]string{}
	all, _ := d.list()
	for _, e := range all {
		out[e.ID] = e.Address
	}
	return out
}

// newIdleEndpointList returns the endpoint list of a daemon that isn't started.
func newIdleEndpointList() *endpointList {
	n := New(&Settings{}, Platform{
		DecodeEndpoint: func(_ time.Time, o objects.Object) (roster.Endpoint, error) {
			var address string
			err := json.Unmarshal(o.Spec, &address)
			return roster.Endpoint{ID: fleet.EndpointID(o.Name), Address: address}, err
		},
	}, discardLog())
	return n.endpoints
}

func endpointObject(name, address string, revision uint64) objects.Object {
	return objects.Object{Name: name, Spec: json.RawMessage(`"` + address + `"`), Revision: revision}
}

// A hub sends a daemon an endpoint's new address. Then the daemon watches the store
// from the revision that the hub's list is complete up to, which is older: the store
// returns the endpoint's old address first, which must not replace the new one.
func TestChangesOlderThanTheListAreIgnored(t *testing.T) {
	d := newIdleEndpointList()
	d.applyHubList(&feed.Update{
		To: feed.Position{Epoch: 1, Seq: 4, Revision: 5}, Full: true,
		Items: []feed.Item{{Name: "a", Spec: []byte(`"new"`), Revision: 9}, {Name: "b", Spec: []byte(`"b"`), Revision: 4}},
	})
	assert.Equal(t, d.upTo(), uint64(5))
	d.Changed([]objects.Change{{Object: endpointObject("a", "old", 7)}}, 7)
	assert.Equal(t, addresses(d)["a"], "new")
	d.Changed([]objects.Change{{Object: endpointObject("a", "newest", 10)}, {Object: endpointObject("b", "b", 11), Deleted: true}}, 11)
	assert.DeepEqual(t, addresses(d), map[fleet.EndpointID]string{"a": "newest"})
}

// A daemon that has listed the store follows a hub whose list is older and has
// fewer endpoints. It takes the hub's keys and what is newer than its own list.
func TestHubKeysReplaceTheList(t *testing.T) {
	d := newIdleEndpointList()
	d.Listed([]objects.Object{endpointObject("a", "a", 3), endpointObject("b", "b", 4)}, 6)
	d.applyHubList(&feed.Update{
		To:    feed.Position{Epoch: 1, Seq: 4, Revision: 8},
		Items: []feed.Item{{Name: "c", Spec: []byte(`"c"`), Revision: 7}},
		Keys:  []rendezvous.ShortKey{rendezvous.ShortKeyOf("a"), rendezvous.ShortKeyOf("c")},
	})
	assert.DeepEqual(t, addresses(d), map[fleet.EndpointID]string{"a": "a", "c": "c"})
	assert.Equal(t, d.upTo(), uint64(8))
}

// An endpoint's entry is overwritten with something that can't be decoded, in a change,
// in a list and in a hub's list. If the old entry were kept, requests would go to an
// endpoint that the store no longer describes; the other endpoints must stay. It is
// logged once for each reason.
func TestUnreadableEntryRemovesItsEndpoint(t *testing.T) {
	bad := objects.Object{Name: "a", Spec: json.RawMessage(`7`), Revision: 6}
	for name, apply := range map[string]func(d *endpointList){
		"change": func(d *endpointList) { d.Changed([]objects.Change{{Object: bad}}, 6) },
		"list":   func(d *endpointList) { d.Listed([]objects.Object{bad, endpointObject("b", "b", 4)}, 6) },
		"hub": func(d *endpointList) {
			d.applyHubList(&feed.Update{To: feed.Position{Epoch: 1, Seq: 4, Revision: 6}, Items: []feed.Item{{Name: "a", Spec: bad.Spec, Revision: 6}}})
		},
	} {
		log, hook := test.NewNullLogger()
		d := newIdleEndpointList()
		d.node.log = log
		d.Listed([]objects.Object{endpointObject("a", "a", 3), endpointObject("b", "b", 4)}, 5)
		apply(d)
		apply(d)
		assert.DeepEqual(t, addresses(d), map[fleet.EndpointID]string{"b": "b"})
		errors := 0
		for _, e := range hook.AllEntries() {
			if e.Level == logrus.ErrorLevel {
				errors++
				assert.Equal(t, e.Data["entry"], fleet.EndpointID("a"), name)
			}
		}
		assert.Equal(t, errors, 1, name)
		d.Changed([]objects.Change{{Object: endpointObject("a", "old", 5)}}, 6)
		assert.Equal(t, len(addresses(d)), 1, "an entry older than the bad one")
		d.Changed([]objects.Change{{Object: endpointObject("a", "again", 8)}}, 8)
		assert.Equal(t, addresses(d)["a"], "again")
	}
}

// The store reports an endpoint's deletion. Then the daemon follows a hub whose list is
// older, is refused by the store, and resumes its watch from the older revision: it
// receives the endpoint's entry and its deletion once more. As the store has just come
// back, the deletion would be delayed for seconds, in which requests go to an endpoint
// that has left.
func TestRemovedEndpointIsNotRestoredByOlderData(t *testing.T) {
	d := newIdleEndpointList()
	d.Listed([]objects.Object{endpointObject("a", "a", 3), endpointObject("b", "b", 4)}, 5)
	d.Changed([]objects.Change{{Object: endpointObject("a", "a", 3), Deleted: true}}, 9)
	assert.Equal(t, len(addresses(d)), 1)

	d.applyHubList(&feed.Update{
		To: feed.Position{Epoch: 1, Seq: 4, Revision: 6}, Full: true,
		Items: []feed.Item{{Name: "a", Spec: []byte(`"a"`), Revision: 3}, {Name: "b", Spec: []byte(`"b"`), Revision: 4}},
	})
	assert.Equal(t, len(addresses(d)), 1, "a hub's older list")
	assert.Equal(t, d.upTo(), uint64(9))

	d.Recovered(time.Now())
	d.Changed([]objects.Change{{Object: endpointObject("a", "a", 3)}, {Object: endpointObject("a", "a", 3), Deleted: true}}, 9)
	assert.Equal(t, len(addresses(d)), 1, "the same changes again")
	d.Changed([]objects.Change{{Object: endpointObject("a", "a", 12)}}, 12)
	assert.Equal(t, len(addresses(d)), 2, "a new entry")
}

func discardLog() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
