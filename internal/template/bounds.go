package template

import "time"

// Bounds of a template's values. They are wide: they catch mistakes such as a
// rate written in the place of a count, not values that are merely unwise.
const (
	MaxWorkspaces = 2000
	MaxModels     = 200
	MaxServices   = 200
	MaxTokens     = 20 // bearer tokens of a workspace; rotation needs a few that overlap
	MaxParameters = 100

	maxPriority       = 100
	maxWeight         = 1000
	maxReplicas       = 5500 // the largest supported number of accelerators in a fleet
	maxRate           = 1e6  // requests per second, burst and concurrent requests
	maxTokenRate      = 1e9  // tokens per second and burst
	maxAnswerTokens   = 1 << 20
	maxLatency        = 10 * time.Minute
	maxWindow         = 31 * 24 * time.Hour // closings are monthly
	maxModelNameBytes = 128                 // of the name of a model, adapter or version
	maxNameBytes      = 63                  // of a template, workspace or service; these names become metric labels and object names
	maxPathBytes      = 512
	maxValueBytes     = 256 // of a parameter
	defaultReplicas   = 1
)
