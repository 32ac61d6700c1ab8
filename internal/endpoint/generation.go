package endpoint

import "github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"

// generation holds the pooled connections to one endpoint that were opened since
// the last stall. When it is retired its idle connections are closed; those in use
// are closed at the end of their answers.
type generation struct {
	transport *answerhead.Transport
}
