package cloud

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/jsonio"
)

const (
	// bodyBytes bounds what a caller may send.
	bodyBytes = 256 << 10
	// maxReclaim bounds the time from notice to end.
	maxReclaim = 24 * time.Hour
)

// Handler returns the cloud's HTTP surface.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cloudapi.InstancesPath, c.served(c.serveInstances))
	mux.HandleFunc("POST "+cloudapi.InstancesPath, c.served(c.serveLaunch))
	mux.HandleFunc("DELETE "+cloudapi.InstancesPath+"/{id}", c.served(c.serveEnd))
	mux.HandleFunc("GET "+cloudapi.NoticesPath, c.served(c.serveNotices))
	mux.HandleFunc("GET "+cloudapi.PricesPath, c.served(c.servePrices))
	mux.HandleFunc("POST "+cloudapi.FaultsPath, c.serveFaults)
	mux.HandleFunc("POST "+cloudapi.ReclaimPath, c.serveReclaim)
	return mux
}

// served refuses the call while the cloud is unavailable.
func (c *Cloud) served(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c.currentFaults().Unavailable {
			jsonio.Fail(w, http.StatusServiceUnavailable, "the cloud is unavailable; nothing was done")
			return
		}
		serve(w, r)
	}
}

func (c *Cloud) serveInstances(w http.ResponseWriter, _ *http.Request) {
	jsonio.Write(w, http.StatusOK, c.Instances())
}

func (c *Cloud) servePrices(w http.ResponseWriter, _ *http.Request) {
	jsonio.Write(w, http.StatusOK, c.Prices())
}

func (c *Cloud) serveLaunch(w http.ResponseWriter, r *http.Request) {
	var l cloudapi.Launch
	if err := jsonio.Decode(r.Body, bodyBytes, &l); err != nil {
		jsonio.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if l.ClientToken == "" || l.Class == "" || l.DataCentre == "" {
		jsonio.Fail(w, http.StatusBadRequest, "a launch has a clientToken, a class and a dataCentre")
		return
	}
	instance, state, refusal := c.launch(l)
	if state == launched && c.currentFaults().LoseAnswers {
		panic(http.ErrAbortHandler) // bought, but the answer is lost
	}
	answerLaunch(w, instance, state, refusal)
}

func answerLaunch(w http.ResponseWriter, instance cloudapi.Instance, state launchState, refusal string) {
	switch state {
	case launched, launchedBefore:
		jsonio.Write(w, http.StatusOK, instance)
	case launchRefused:
		jsonio.Write(w, http.StatusConflict, cloudapi.Refusal{Error: refusal})
	default:
		jsonio.Fail(w, http.StatusUnprocessableEntity, refusal)
	}
}

func (c *Cloud) serveEnd(w http.ResponseWriter, r *http.Request) {
	if !c.End(fleet.InstanceID(r.PathValue("id"))) {
		jsonio.Fail(w, http.StatusNotFound, "there is no such instance")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cloud) serveNotices(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, sinceErr := strconv.ParseUint(query.Get("since"), 10, 64)
	wait, waitErr := strconv.ParseUint(query.Get("wait"), 10, 31)
	if sinceErr != nil || waitErr != nil {
		jsonio.Fail(w, http.StatusBadRequest, "notices are asked for with since and wait (milliseconds)")
		return
	}
	jsonio.Write(w, http.StatusOK, c.waitNotices(r.Context(), since, time.Duration(wait)*time.Millisecond))
}

func (c *Cloud) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f cloudapi.Faults
	if err := jsonio.Decode(r.Body, bodyBytes, &f); err != nil {
		jsonio.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	c.SetFaults(f)
	jsonio.Write(w, http.StatusOK, f)
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var order cloudapi.Reclaim
	if err := jsonio.Decode(r.Body, bodyBytes, &order); err != nil {
		jsonio.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if order.Millis < 0 || order.Millis > maxReclaim.Milliseconds() {
		jsonio.Fail(w, http.StatusBadRequest, "millis is from 0 to a day")
		return
	}
	jsonio.Write(w, http.StatusOK, c.Reclaim(order))
}
