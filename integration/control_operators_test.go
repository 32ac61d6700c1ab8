package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

const operatorsAtOnce = 10

// changesEach is how many accepted changes each operator makes.
func changesEach() int { return scaled(10, 50) }

// Guards against lost or repeated changes where ten operators amend one template.
func TestOperatorsAmendOneTemplateAtOnce(t *testing.T) {
	t.Parallel()
	c := deploy(t, options(), withOperators)
	post(t, c.platform()+objectapi.FaultsPath, objectapi.Faults{LoseAnswers: 0.2, Seed: 1})
	all := newChanges()
	watching, stop := context.WithCancel(context.Background())
	var watchers, amending sync.WaitGroup
	for i := range c.entries {
		watchers.Go(func() { c.watchVersions(watching, t, i) })
	}
	watchers.Go(func() { c.watchHistory(watching, t, all) })
	for i := range operatorsAtOnce {
		amending.Go(func() { c.amendMany(t, all, i) })
	}
	amending.Wait()
	stop()
	watchers.Wait()
	if t.Failed() {
		return
	}
	c.checkTrails(t, all)
	all.check(t)
	t.Logf("%d changes accepted, %d attempts refused, in %s",
		len(all.accepted), len(all.refused), time.Since(all.start).Round(time.Millisecond))
}

func operatorName(i int) string  { return fmt.Sprintf("operator-%d", i) }
func operatorToken(i int) string { return fmt.Sprintf("operator-token-%d", i) }

// withOperators gives each operator a credential of its own.
func withOperators(l *deployment.Layout) {
	for e := range l.Entries {
		for i := range operatorsAtOnce {
			o := settings.Operator{Name: operatorName(i), TokenSHA256: deployment.HashToken(operatorToken(i))}
			l.Entries[e].Operators = append(l.Entries[e].Operators, o)
		}
	}
}

// amendMany makes one operator's changes, another daemon for each attempt.
func (c *cluster) amendMany(t *testing.T, all *changes, number int) {
	clients := make([]*operator.Client, len(c.entries))
	for i := range clients {
		clients[i] = c.operatorOf(i, operatorToken(number))
	}
	tries := number
	for n := range changesEach() {
		value := fmt.Sprintf("%dms", 1000+number*changesEach()+n)
		for {
			tries++
			done, err := amendOnce(all, clients[tries%len(clients)], value)
			if err != nil {
				t.Errorf("%s: %v", operatorName(number), err)
				return
			}
			if done {
				break
			}
		}
	}
}

// amendOnce reads the template and amends it, and reports whether the change
// was accepted. It asks again about an unknown outcome.
func amendOnce(all *changes, client *operator.Client, value string) (bool, error) {
	called := time.Now()
	stored, err := client.Template(context.Background(), closing)
	if err != nil {
		return false, err
	}
	all.note(called, wish{read: true}, became{version: stored.Version})
	stored.Template.Parameters["firstToken"] = value
	operation := newKey()
	called = time.Now()
	for {
		r, err := applyOnce(client, stored.Version, stored.Template, "first token "+value, operation)
		if err != nil {
			return false, err
		}
		if r.Outcome != template.Unknown {
			all.ended(called, stored.Version, operation, r)
			return r.Outcome == template.Accepted, nil
		}
	}
}

// watchVersions looks at what a daemon shows of each daemon, and of the
// template's spreading, until ctx ends.
func (c *cluster) watchVersions(ctx context.Context, t *testing.T, entry int) {
	client := c.developer(entry)
	highest := make(map[string]uint64)
	see := func(what string, version uint64) {
		if version < highest[what] {
			t.Errorf("%s shows version %d of %s after %d", c.entries[entry].name, version, what, highest[what])
		}
		highest[what] = max(highest[what], version)
	}
	for ctx.Err() == nil {
		entries, err := client.Entries(context.Background())
		assert.Check(t, err)
		for _, e := range entries {
			see("entry "+string(e.Instance), e.Templates)
		}
		spread, err := client.TemplateStatus(context.Background(), closing)
		assert.Check(t, err)
		see("the template", spread.Version)
		for _, d := range spread.Daemons {
			see("status of "+string(d.Instance), d.Newest)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// watchHistory collects the history, of which the store keeps the newest
// entries alone, until ctx ends.
func (c *cluster) watchHistory(ctx context.Context, t *testing.T, all *changes) {
	for ctx.Err() == nil {
		list, err := c.developer(rand.IntN(len(c.entries))).History(context.Background(), closing)
		assert.Check(t, err)
		all.saw(t, list)
		time.Sleep(50 * time.Millisecond)
	}
}

// checkTrails compares the last history of each daemon, and the audit, with
// the accepted changes. Who made a change comes from the credential.
func (c *cluster) checkTrails(t *testing.T, all *changes) {
	t.Helper()
	post(t, c.platform()+objectapi.FaultsPath, objectapi.Faults{})
	for i := range c.entries {
		list, err := c.developer(i).History(t.Context(), closing)
		assert.NilError(t, err)
		all.saw(t, list)
		audit, err := c.developer(i).Audit(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, audit, list)
		templates, err := c.developer(i).Templates(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, templates[0].Changes, uint64(len(all.accepted)+1))
	}
	byOperator := make(map[string]int)
	for _, e := range all.entries {
		byOperator[e.Entry.Who]++
	}
	for i := range operatorsAtOnce {
		assert.Equal(t, byOperator[operatorName(i)], changesEach(), operatorName(i))
	}
}
