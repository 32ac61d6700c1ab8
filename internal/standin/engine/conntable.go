package engine

// maxConns bounds the connections remembered; older ones are forgotten.
const maxConns = 4096

// connTable remembers the callers' connections, by remote address, and which
// of them went silent for good. The caller guards it.
type connTable struct {
	silent map[string]bool
	order  []string
}

func newConnTable() *connTable { return &connTable{silent: make(map[string]bool)} }

// seen notes a connection and reports whether it is silent.
func (c *connTable) seen(remote string) bool {
	silent, known := c.silent[remote]
	if known {
		return silent
	}
	c.silent[remote] = false
	c.order = append(c.order, remote)
	if len(c.order) > maxConns {
		delete(c.silent, c.order[0])
		c.order = c.order[1:]
	}
	return false
}

// silence makes all connections known now silent for good.
func (c *connTable) silence() {
	for remote := range c.silent {
		c.silent[remote] = true
	}
}
