package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/lease"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
)

// unbounded leaves the platform's rates out of a measurement.
var unbounded = budget.Config{
	Fleet:     budget.Rates{1e9, 1e9, 1e9, 1e9, 1e9},
	FleetSize: 1,
}

// BenchmarkPlatformCall is what calls of the platform cost a daemon: a lease's
// read and write, and a watch that ends without a change or with one object.
func BenchmarkPlatformCall(b *testing.B) {
	ctx := context.Background()
	value, err := lease.State{}.Value()
	if err != nil {
		b.Fatal(err)
	}
	object := objectapi.Object{Kind: lease.Kind, Name: "placement-0", Version: 123456, Value: value}
	calls := []struct {
		name   string
		answer any
		do     func(*outside.Clients) error
	}{
		{"get", object, func(c *outside.Clients) error { _, err := c.Objects.Get(ctx, lease.Kind, "placement-0"); return err }},
		{"update", object, func(c *outside.Clients) error {
			_, err := c.Objects.Update(ctx, lease.Kind, "placement-0", value, 123455)
			return err
		}},
		{"watch/changed-KB=0", objectapi.WatchAnswer{Version: 123456}, watch},
		{"watch/changed-KB=16", objectapi.WatchAnswer{Version: 123456, Changes: []objectapi.Object{template(16)}}, watch},
		{"watch/changed-KB=64", objectapi.WatchAnswer{Version: 123456, Changes: []objectapi.Object{template(64)}}, watch},
		{"watch/changed-KB=256", objectapi.WatchAnswer{Version: 123456, Changes: []objectapi.Object{template(256)}}, watch},
	}
	for _, call := range calls {
		b.Run(call.name, func(b *testing.B) { platformCall(b, jsonAnswer(call.answer), call.do) })
	}
}

func watch(c *outside.Clients) error {
	_, err := c.Objects.Watch(context.Background(), []string{"template", "drain"}, 123456, 30*time.Second)
	return err
}

// template is an object of about so many KB.
func template(kb int) objectapi.Object {
	value, _ := json.Marshal(make([]byte, kb<<10*3/4))
	return objectapi.Object{Kind: "template", Name: "month-end", Version: 123457, Value: value}
}

// BenchmarkInstanceList is what one read of the instance list costs a daemon.
func BenchmarkInstanceList(b *testing.B) {
	for _, size := range [][2]int{{9, 22}, {85, 172}, {340, 690}} {
		b.Run(fmt.Sprintf("daemons=%d/endpoints=%d", size[0], size[1]), func(b *testing.B) {
			platformCall(b, jsonAnswer(list(size[0], size[1])), func(c *outside.Clients) error {
				_, err := c.Instances.List(context.Background())
				return err
			})
		})
	}
}

// list is an instance list with names of usual length.
func list(daemons, engines int) listapi.List {
	l := listapi.List{TakenAtMillis: 1767225600000}
	for i := range daemons {
		l.Entries = append(l.Entries, listapi.Entry{
			Instance: fleet.InstanceID(fmt.Sprintf("entry-%03d", i)), Address: fmt.Sprintf("10.20.%d.%d:8443", i/250, i%250),
			Peer: fmt.Sprintf("10.20.%d.%d:7443", i/250, i%250), DataCentre: dataCentre(i), Region: region(i), State: fleet.Live,
		})
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%03d", i)
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{
			ID: fleet.EndpointID(id), Instance: fleet.InstanceID(id), Address: fmt.Sprintf("10.21.%d.%d:9000", i/250, i%250),
			DataCentre: dataCentre(i), Region: region(i), Kind: fleet.EngineEndpoint, Class: "standard-8", HourPrice: 11.25,
			Fences: i%2 == 0, State: fleet.Live, Models: []fleet.ModelRef{{Model: "harvester-diagnosis", Adapter: "cane", Version: "12"}},
		})
	}
	return l
}

// The target has 11 data centres in 3 regions.
func dataCentre(i int) fleet.DataCentre {
	return fleet.DataCentre(fmt.Sprintf("cane-%d-%d", i%11%3, i%11))
}
func region(i int) fleet.Region { return fleet.Region(fmt.Sprintf("cane-%d", i%11%3)) }

func platformCall(b *testing.B, answer []byte, one func(*outside.Clients) error) {
	var w wire
	address := "http://" + canned(b, answer)
	c, err := outside.New(outside.Options{
		Objects: address, Instances: address, Cloud: address, Weights: address,
		Budget: unbounded, Transport: &http.Transport{DialContext: w.dial, DisableCompression: true},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	if err := one(c); err != nil {
		b.Fatal(err)
	}
	in, out, cpu := w.in.Load(), w.out.Load(), cpuTime()
	b.ReportAllocs()
	for b.Loop() {
		if err := one(c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(w.in.Load()-in)/float64(b.N), "in-B/call")
	b.ReportMetric(float64(w.out.Load()-out)/float64(b.N), "out-B/call")
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/call")
}
