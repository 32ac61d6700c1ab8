package outside

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/cloud"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/instancelist"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/weightstore"
	"gotest.tools/v3/assert"
)

// Guards against an instance that is bought twice after the answer to its launch was lost.
func TestLostLaunchIsNotBoughtTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		market := cloud.New(cloud.Options{Prices: cloud.DefaultPrices([]fleet.DataCentre{"a"})})
		clients, _, _ := connect(t, market.Handler(), plenty)
		launch := cloudapi.Launch{ClientToken: "t", Class: cloud.SmallClass, DataCentre: "a"}
		market.SetFaults(cloudapi.Faults{LoseAnswers: true})
		_, err := clients.Cloud.Launch(t.Context(), launch)
		var lost *Ambiguous
		assert.Assert(t, errors.As(err, &lost), "%v", err)
		market.SetFaults(cloudapi.Faults{RefuseStarts: true})
		instance, err := clients.Cloud.Launch(t.Context(), launch)
		assert.NilError(t, err)
		bought, err := clients.Cloud.Instances(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, bought, []cloudapi.Instance{instance})
	})
}

func TestMarketRefusesReclaimableStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		market := cloud.New(cloud.Options{Prices: cloud.DefaultPrices([]fleet.DataCentre{"a"})})
		market.SetFaults(cloudapi.Faults{RefuseStarts: true})
		clients, _, _ := connect(t, market.Handler(), plenty)
		launch := cloudapi.Launch{ClientToken: "t", Class: cloud.SmallClass, DataCentre: "a"}
		_, err := clients.Cloud.Launch(t.Context(), launch)
		var refusal *MarketRefusal
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		launch.OnDemand = true
		_, err = clients.Cloud.Launch(t.Context(), launch)
		assert.NilError(t, err)
	})
}

// Guards against a second notice that postpones the end of a reclaimed instance.
func TestReclaimGivesNoticeAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := make(chan fleet.InstanceID, 3)
		market := cloud.New(cloud.Options{OnGone: func(id fleet.InstanceID) { gone <- id }})
		for _, id := range []fleet.InstanceID{"x", "y"} {
			market.Register(cloudapi.Instance{ID: id, DataCentre: "a"})
		}
		market.Register(cloudapi.Instance{ID: "z", DataCentre: "a", OnDemand: true})
		clients, _, _ := connect(t, market.Handler(), plenty)
		start := time.Now()
		time.AfterFunc(time.Minute, func() {
			market.Reclaim(cloudapi.Reclaim{DataCentre: "a", Millis: 30_000})
			market.Reclaim(cloudapi.Reclaim{Instances: []fleet.InstanceID{"y"}, Millis: 90_000})
		})
		page, err := clients.Cloud.Notices(t.Context(), 0, 2*time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start).Truncate(time.Second), time.Minute)
		synctest.Wait() // for the second notice to y
		page, err = clients.Cloud.Notices(t.Context(), 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Notices), 3)
		end := start.Add(90 * time.Second).UnixMilli()
		for _, n := range page.Notices {
			assert.Equal(t, n.AtMillis, end, "%s", n.Instance)
		}
		time.Sleep(31 * time.Second)
		assert.Equal(t, len(gone), 2)
		left, err := clients.Cloud.Instances(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(left), 1)
		assert.Equal(t, left[0].ID, fleet.InstanceID("z"))
	})
}

func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		truth := instancelist.New(instancelist.Options{Lag: 5 * time.Second})
		truth.Set(listapi.List{Entries: []listapi.Entry{{Instance: "x", State: fleet.Live}}})
		clients, _, _ := connect(t, truth.Handler(), plenty)
		time.Sleep(time.Minute)
		truth.MarkLeaving("x", time.Now().Add(time.Minute))
		state := func() fleet.State {
			list, err := clients.Instances.List(t.Context())
			assert.NilError(t, err)
			return list.Entries[0].State
		}
		assert.Equal(t, state(), fleet.Live)
		time.Sleep(5 * time.Second)
		assert.Equal(t, state(), fleet.Leaving)
	})
}

func TestWeightStoreAsksToWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := weightstore.New(weightstore.Options{PerSecond: 0.5, Burst: 1})
		clients, _, _ := connect(t, store.Handler(), plenty)
		ref := fleet.ModelRef{Model: "m"}
		weights, err := clients.Weights.Fetch(t.Context(), ref)
		assert.NilError(t, err)
		assert.Equal(t, weights.Model, ref)
		_, err = clients.Weights.Fetch(t.Context(), ref)
		var limited *RateLimited
		assert.Assert(t, errors.As(err, &limited), "%v", err)
		start := time.Now()
		_, err = clients.Weights.Fetch(t.Context(), ref) // the budget holds it back
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) >= limited.After)
	})
}
