package deployment

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const (
	// bootTime is how long a bought instance takes to start its engine, without
	// a model: far less than a real one, so that trials don't wait.
	bootTime = time.Second
	// modelsInterval is how often the instance list learns what engines hold.
	modelsInterval = 500 * time.Millisecond
	// boughtSlots is how many requests a bought engine runs at once.
	boughtSlots = 8
)

// launched starts an engine on a bought instance.
func (d *Standins) launched(i cloudapi.Instance) {
	d.log.WithField("instance", i.ID).Info("instance bought")
	go func() {
		select {
		case <-time.After(bootTime):
			d.boot(i)
		case <-d.stop:
		}
	}()
}

func (d *Standins) boot(i cloudapi.Instance) {
	if !slices.ContainsFunc(d.cloud.Instances(), func(o cloudapi.Instance) bool { return o.ID == i.ID }) {
		return // given back while it booted
	}
	e := Engine{Instance: i.ID, Address: "127.0.0.1:0", DataCentre: i.DataCentre, Class: i.Class, Fences: true, Slots: boughtSlots}
	address, err := d.startEngine(e, nil, len(d.settings.Engines)+len(i.ID))
	if err != nil {
		d.log.WithError(err).Error("bought instance not started")
		return
	}
	e.Address = address
	e.HourPrice = d.price(i)
	d.cloud.SetAddress(i.ID, address)
	d.list.AddEndpoint(endpointOf(e, nil))
}

// price returns what a bought instance costs an hour.
func (d *Standins) price(i cloudapi.Instance) float64 {
	for _, p := range d.cloud.Prices() {
		if p.Class != i.Class || p.DataCentre != i.DataCentre {
			continue
		}
		if i.OnDemand {
			return p.OnDemand
		}
		return p.Reclaimable
	}
	return 0
}

// endpointOf is an engine's entry in the instance list.
func endpointOf(e Engine, models []fleet.ModelRef) fleet.Endpoint {
	return fleet.Endpoint{
		ID: fleet.EndpointID(e.Instance), Instance: e.Instance, Address: listed(e.Address, e.Advertise),
		DataCentre: e.DataCentre, Region: Region, Kind: fleet.EngineEndpoint,
		Class: e.Class, HourPrice: e.HourPrice, Fences: e.Fences, State: fleet.Live, Models: models,
	}
}

// followModels keeps the instance list's models up to date.
func (d *Standins) followModels() {
	ticker := time.NewTicker(modelsInterval)
	defer ticker.Stop()
	known := make(map[fleet.InstanceID][]fleet.ModelRef)
	for {
		select {
		case <-ticker.C:
		case <-d.stop:
			return
		}
		for id, models := range d.loadedModels() {
			if slices.Equal(known[id], models) {
				continue
			}
			known[id] = models
			d.list.SetModels(fleet.EndpointID(id), models)
		}
	}
}

func (d *Standins) loadedModels() map[fleet.InstanceID][]fleet.ModelRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[fleet.InstanceID][]fleet.ModelRef, len(d.engines))
	for id, e := range d.engines {
		out[id] = e.Models()
	}
	return out
}
