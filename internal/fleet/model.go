package fleet

// ModelRef names the model that an engine must have loaded to serve a request.
// Adapter may be empty; an empty Version matches any version.
type ModelRef struct {
	Model   string `json:"model" yaml:"model"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	Version string `json:"version,omitempty" yaml:"version,omitempty"`
}

// Satisfies reports whether a loaded model m can serve a request for want.
func (m ModelRef) Satisfies(want ModelRef) bool {
	if m.Model != want.Model || m.Adapter != want.Adapter {
		return false
	}
	return want.Version == "" || m.Version == want.Version
}
