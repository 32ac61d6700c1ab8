package workload

import "time"

// Kind is one kind of request in a mix. A token is a word, as in the stand-in
// engines.
type Kind struct {
	Name string `yaml:"name" json:"name"`
	// Share of a workspace's requests that are of this kind. The shares of a
	// mix are relative; they need not add up to one.
	Share float64 `yaml:"share" json:"share"`
	// Call is set for a request to a plain service, nil for one to a model.
	Call *ServiceCall `yaml:"call,omitempty" json:"call,omitempty"`

	// Subjects is how many machines or towns a workspace asks about. Each has a
	// record, which is at the start of the prompt of every question about it, so
	// that these prompts share a prefix. 0: the prompt has no record.
	Subjects      int   `yaml:"subjects,omitempty" json:"subjects,omitempty"`
	SubjectTokens Range `yaml:"subjectTokens,omitempty" json:"subjectTokens"`
	// Questions is the number of different questions; 0: each is new.
	Questions      int   `yaml:"questions,omitempty" json:"questions,omitempty"`
	QuestionTokens Range `yaml:"questionTokens,omitempty" json:"questionTokens"`
	AnswerTokens   Range `yaml:"answerTokens,omitempty" json:"answerTokens"`

	// Reuse is the probability that a request continues a conversation, if one is
	// open. Its prompt then has all the earlier turns before the new question.
	Reuse float64 `yaml:"reuse,omitempty" json:"reuse,omitempty"`
	// Turns is the most turns of a conversation.
	Turns int `yaml:"turns,omitempty" json:"turns,omitempty"`
	// Think is the shortest time between two turns, at latency scale 1.
	Think time.Duration `yaml:"think,omitempty" json:"think,omitempty"`
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	Service string `yaml:"service" json:"service"`
	Method  string `yaml:"method" json:"method"`
	// Path below the service. "{part}" is replaced by a part number.
	Path string `yaml:"path" json:"path"`
	// Body is sent as JSON with "{part}" replaced; empty: none.
	Body string `yaml:"body,omitempty" json:"body,omitempty"`
	// NonIdempotent calls are sent with an idempotency key, and checked to have
	// run at most once.
	NonIdempotent bool `yaml:"nonIdempotent,omitempty" json:"nonIdempotent,omitempty"`
	// Parts is the number of different parts.
	Parts int `yaml:"parts,omitempty" json:"parts,omitempty"`
}

// check returns an error that names the first mistake.
func (k *Kind) check() error {
	switch {
	case k.Name == "":
		return Error.New("a kind has no name")
	case k.Share <= 0:
		return Error.New("kind %s: share %v must be above 0", k.Name, k.Share)
	case k.Call != nil:
		return k.Call.check(k.Name)
	case !k.SubjectTokens.valid() || !k.QuestionTokens.valid() || !k.AnswerTokens.valid():
		return Error.New("kind %s: a range of tokens has min above max", k.Name)
	case k.QuestionTokens.Min < 1 || k.AnswerTokens.Min < 1:
		return Error.New("kind %s: questions and answers need at least one token", k.Name)
	case k.Reuse < 0 || k.Reuse > 1:
		return Error.New("kind %s: reuse %v must be between 0 and 1", k.Name, k.Reuse)
	}
	return nil
}

func (c *ServiceCall) check(kind string) error {
	if c.Service == "" || c.Method == "" || c.Path == "" {
		return Error.New("kind %s: a call needs service, method and path", kind)
	}
	return nil
}
