package template

import "strconv"

// path is a field's place in a template, as a chain up to the root. Its text
// is only made for a fault: a check of a thousand workspaces makes none.
type path struct {
	up    *path
	key   string
	index int // in a sequence, where key is empty
}

func (p *path) field(key string) *path { return &path{up: p, key: key} }

func (p *path) item(index int) *path { return &path{up: p, index: index} }

// String returns a form such as workspaces[0].limits.burst.
func (p *path) String() string {
	if p == nil {
		return ""
	}
	before := p.up.String()
	switch {
	case p.key == "":
		return before + "[" + strconv.Itoa(p.index) + "]"
	case before == "":
		return p.key
	default:
		return before + "." + p.key
	}
}
