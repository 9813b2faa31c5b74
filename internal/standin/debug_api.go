package standin

import (
	"encoding/json"
	"net/http"
)

// The paths by which tests control a stand-in and read its runs.
const (
	PathRuns     = "/debug/runs"
	PathArrivals = "/debug/arrivals"
	PathFaults   = "/debug/faults"
)

func (h *host) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.Runs())
}

// serveArrivals sends the arrivals since the start of the process.
func (h *host) serveArrivals(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.faults.received())
}

// serveFaults sends the response once the persistent faults are in force, so that the next request
// meets them, and before a pause, a silence or a crash, which would delay or lose the response.
func (h *host) serveFaults(w http.ResponseWriter, r *http.Request) {
	var o FaultOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.setFaults(o)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	h.strike(o)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
