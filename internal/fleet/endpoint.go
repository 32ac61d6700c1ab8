package fleet

// EndpointKind says whether an endpoint is a model engine or a plain service.
type EndpointKind string

// The kinds of endpoint.
const (
	EngineEndpoint  EndpointKind = "engine"
	ServiceEndpoint EndpointKind = "service" // a replica of a service without models
)

// State is an instance's state in the instance list.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving" // its end was announced
)

// Endpoint is a back end in the instance list.
type Endpoint struct {
	ID         EndpointID   `json:"id"`
	Instance   InstanceID   `json:"instance"`
	Address    string       `json:"address"` // host:port
	DataCentre DataCentre   `json:"dataCentre"`
	Region     Region       `json:"region"`
	Kind       EndpointKind `json:"kind"`
	Service    string       `json:"service,omitempty"`   // name, for a ServiceEndpoint
	Class      string       `json:"class,omitempty"`     // machine class
	HourPrice  float64      `json:"hourPrice,omitempty"` // currency units an hour
	Fences     bool         `json:"fences,omitempty"`    // rejects orders with an old fencing number
	State      State        `json:"state"`
	LeaveAt    int64        `json:"leaveAtMillis,omitempty"` // Unix ms at which a leaving instance ends; 0 is unknown
	Models     []ModelRef   `json:"models,omitempty"`        // loaded at the time of the list
}
