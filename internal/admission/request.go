package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Pool names a set of endpoints that share one capacity: the engines that serve
// a model, or the replicas of a plain service.
type Pool string

// Request describes a request that asks for admission.
type Request struct {
	ID           fleet.RequestID
	Workspace    fleet.WorkspaceID // from the verified credential
	Pool         Pool
	Model        fleet.ModelRef // empty for a plain service
	PromptTokens int
	MaxTokens    int
	Deadline     time.Time // latest useful start; zero means Config.MaxQueueWait from now
	Priority     int       // among the workspace's own requests; higher goes first
}

// Usage is the actual cost of a request. The difference from the estimate is
// charged or refunded.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	NotRun           bool // it ran nowhere: its duration is left out of the pool's averages
}
