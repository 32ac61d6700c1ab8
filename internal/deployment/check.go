package deployment

import (
	"fmt"
	"net"
	"os"

	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, settings.Error.Wrap(err)
}

// check returns the mistakes in a stand-in's settings.
func (s *Standin) check() []settings.Mistake {
	var m []settings.Mistake
	address := func(path, v string) {
		if _, _, err := net.SplitHostPort(v); err != nil {
			m = append(m, settings.Mistake{Path: path, Message: fmt.Sprintf("%q is not host:port", v)})
			return
		}
		if !settings.Loopback(v) {
			m = append(m, settings.Mistake{Path: path, Message: fmt.Sprintf("%q is not loopback; stand-ins have no authentication", v)})
		}
	}
	advertised := func(path, v string) {
		if v != "" {
			address(path, v)
		}
	}
	address("$.platform", s.Platform)
	for i, e := range s.Engines {
		address(fmt.Sprintf("$.engines[%d].address", i), e.Address)
		advertised(fmt.Sprintf("$.engines[%d].advertise", i), e.Advertise)
	}
	for i, e := range s.Services {
		address(fmt.Sprintf("$.services[%d].address", i), e.Address)
		advertised(fmt.Sprintf("$.services[%d].advertise", i), e.Advertise)
	}
	if s.Speed.TokenInterval <= 0 {
		m = append(m, settings.Mistake{Path: "$.speed.tokenInterval", Message: "must be a duration above zero, such as 10ms"})
	}
	if s.Speed.PrefillPerSecond <= 0 {
		m = append(m, settings.Mistake{Path: "$.speed.prefillPerSecond", Message: "must be above zero"})
	}
	return m
}
