package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
)

func encodeVersions(h origin.History) *exchangepb.Versions {
	if h.Known == 0 {
		return nil
	}
	out := &exchangepb.Versions{KnownMs: h.Known.Milliseconds()}
	for _, g := range h.Gone {
		out.Gone = append(out.Gone, &exchangepb.GoneVersion{Service: g.Service, Version: g.Version, AgeMs: g.Ago.Milliseconds()})
	}
	return out
}

func decodeVersions(v *exchangepb.Versions) origin.History {
	out := origin.History{Known: time.Duration(max(v.GetKnownMs(), 0)) * time.Millisecond}
	for _, g := range v.GetGone() {
		out.Gone = append(out.Gone, origin.Gone{
			Origin: origin.Origin{Service: g.GetService(), Version: g.GetVersion()},
			Ago:    time.Duration(max(g.GetAgeMs(), 0)) * time.Millisecond,
		})
	}
	return out
}
