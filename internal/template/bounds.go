package template

import "time"

// Bounds of a template's values. They are wide: they catch slips such as a
// rate in the place of a count, not bad judgement.
const (
	MaxWorkspaces = 2000
	MaxModels     = 200
	MaxServices   = 200
	MaxTokens     = 20 // bearer tokens of a workspace: a few in turn, with an overlap
	MaxParameters = 100

	maxPriority     = 100
	maxWeight       = 1000
	maxReplicas     = 5500 // the accelerators that the fleet is built for
	maxRate         = 1e6  // requests a second, and at once
	maxTokenRate    = 1e9  // tokens a second, and as a burst
	maxAnswer       = 1 << 20
	maxLatency      = 10 * time.Minute
	maxWindow       = 31 * 24 * time.Hour // a closing comes once a month
	maxWordBytes    = 128                 // names of models, adapters and versions
	maxNameBytes    = 63                  // names become metric labels and object names
	maxPathBytes    = 512
	maxValueBytes   = 256 // of a parameter
	defaultReplicas = 1
)
