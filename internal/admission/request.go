package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Pool names a set of endpoints whose capacity is counted together: the
// engines of a model, or the replicas of a plain service.
type Pool string

// Request is a request that wants to run.
type Request struct {
	ID           fleet.RequestID
	Workspace    fleet.WorkspaceID // from the verified credential
	Pool         Pool
	Model        fleet.ModelRef // empty for a plain service
	PromptTokens int
	MaxTokens    int
	Deadline     time.Time // latest useful start; zero is Config.MaxQueueWait from now
	Priority     int       // among the workspace's own requests; greater goes first
}

// Usage is what a request really cost. The difference to the estimate is
// charged or returned.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	NotRun           bool // it ran nowhere: its times say nothing about the pool
}
