package integration

import (
	"bufio"
	"strconv"
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
)

// metric returns the value of an entry's metric, -1 where it can't be read.
func (p *process) metric(name string) float64 {
	resp, err := control.Get("http://" + p.addresses(deployment.RoleOperator)[0] + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				return v
			}
		}
	}
	return -1
}

// running returns how many completions an entry holds, -1 where it can't be asked.
func (p *process) running() int { return int(p.metric("cyclamenbeam_requests_running")) }
