package deployment

import (
	"fmt"
	"net"
	"os"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
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
		if !settings.IsLoopback(v) {
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
	seen := make(map[fleet.InstanceID]bool)
	once := func(path string, id fleet.InstanceID) {
		if id == "" || seen[id] {
			m = append(m, settings.Mistake{Path: path, Message: fmt.Sprintf("%q is empty or stands twice", id)})
		}
		seen[id] = true
	}
	for i, e := range s.Engines {
		once(fmt.Sprintf("$.engines[%d].instance", i), e.Instance)
		if e.Slots < 0 {
			m = append(m, settings.Mistake{Path: fmt.Sprintf("$.engines[%d].slots", i), Message: "must not be below 0"})
		}
	}
	for i, e := range s.Services {
		once(fmt.Sprintf("$.services[%d].instance", i), e.Instance)
	}
	for i, e := range s.Entries {
		once(fmt.Sprintf("$.entries[%d].instance", i), e.Instance)
	}
	if s.Speed.EventLoss < 0 || s.Speed.EventLoss > 1 {
		m = append(m, settings.Mistake{Path: "$.speed.eventLoss", Message: "must be from 0 to 1"})
	}
	if s.Speed.TokenInterval <= 0 {
		m = append(m, settings.Mistake{Path: "$.speed.tokenInterval", Message: "must be a duration above zero, such as 10ms"})
	}
	if s.Speed.PrefillPerSecond <= 0 {
		m = append(m, settings.Mistake{Path: "$.speed.prefillPerSecond", Message: "must be above zero"})
	}
	return m
}
