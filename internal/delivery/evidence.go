package delivery

// Evidence is what is known of a delivery, or why it isn't known whether it was run.
type Evidence string

// The values of Evidence.
const (
	NeverSent       Evidence = "never-sent"       // there was no connection, or the request was held
	NoAnswer        Evidence = "no-answer"        // the request was sent, and no answer was read
	EndpointStates  Evidence = "endpoint"         // the endpoint's answer names the request
	EndpointUnnamed Evidence = "endpoint-unnamed" // it names none
	DaemonStates    Evidence = "daemon"           // the refusal of another daemon names the request
	DaemonUnnamed   Evidence = "daemon-unnamed"   // it names none
	// StatusAlone means that an endpoint's status says that the request was not run, though the
	// endpoint doesn't state so.
	StatusAlone Evidence = "status-alone"
	// Contradiction means that an endpoint answers with a success and states that it has not run the
	// request.
	Contradiction Evidence = "contradiction"
)
