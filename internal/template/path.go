package template

import "strconv"

// path is the path of a field in a template, as a linked list up to the root.
// Its text is built only for a problem, so that checking a valid template of a
// thousand workspaces builds none.
type path struct {
	parent *path
	key    string
	index  int // in a sequence, if key is empty
}

func (p *path) field(key string) *path { return &path{parent: p, key: key} }

func (p *path) item(index int) *path { return &path{parent: p, index: index} }

// String returns a form such as workspaces[0].limits.burst.
func (p *path) String() string {
	if p == nil {
		return ""
	}
	before := p.parent.String()
	switch {
	case p.key == "":
		return before + "[" + strconv.Itoa(p.index) + "]"
	case before == "":
		return p.key
	default:
		return before + "." + p.key
	}
}
