package budget

// Kind is what a call is charged to. Each kind has a rate of its own.
type Kind uint8

// The kinds of call.
const (
	ObjectRead  Kind = iota // get, list, and a watch, however long it waits
	ObjectWrite             // create, update, delete
	ListRead                // the instance list
	CloudCall               // launches, ends, prices, notices
	WeightFetch             // the weight store
	Kinds                   // the number of kinds
)

// String returns the kind's name in metrics and logs.
func (k Kind) String() string {
	switch k {
	case ObjectRead:
		return "object-read"
	case ObjectWrite:
		return "object-write"
	case ListRead:
		return "list-read"
	case CloudCall:
		return "cloud-call"
	default:
		return "weight-fetch"
	}
}

// api is a service of the platform that is up or down as a whole.
type api uint8

const (
	objectAPI api = iota
	listAPI
	cloudAPI
	weightAPI
	apis
)

func (k Kind) api() api {
	switch k {
	case ObjectRead, ObjectWrite:
		return objectAPI
	case ListRead:
		return listAPI
	case CloudCall:
		return cloudAPI
	default:
		return weightAPI
	}
}
