package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

var (
	testModel = fleet.ModelRef{Model: "m"}
	start     = time.Unix(1000, 0)
)

// endpoints returns n live engines with testModel in four data centres.
func endpoints(n int) []fleet.Endpoint {
	out := make([]fleet.Endpoint, n)
	for i := range out {
		out[i] = fleet.Endpoint{
			ID: fleet.EndpointID(fmt.Sprintf("engine-%d", i)), Address: fmt.Sprintf("10.0.0.1:%d", i),
			Kind: fleet.EngineEndpoint, State: fleet.Live, Models: []fleet.ModelRef{testModel},
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%4)),
		}
	}
	return out
}

func testRouter(seed uint64, config Config, list []fleet.Endpoint) *Router {
	r := New(config, "dc-0", rand.New(rand.NewPCG(seed, 0)))
	r.SetEndpoints(start, list)
	return r
}

// prompt returns a request whose blocks depend only on the seed.
func prompt(seed uint64, blocks int) *Request {
	return &Request{
		ID: fleet.RequestID(fmt.Sprint(seed)), Model: testModel, MaxTokens: 100,
		Blocks: simChain(seed, 0, blocks), PromptTokens: blocks * 16,
	}
}
