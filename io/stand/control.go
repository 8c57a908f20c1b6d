package stand

import (
	"encoding/json"
	"net/http"
	"time"

	"azurering/core/codes"
)

// maxControlBytes limits the body of a control request.
const maxControlBytes = 1 << 16

type faultJSON struct {
	Kind     FaultKind `json:"kind"`
	Service  Service   `json:"service,omitempty"`
	Identity string    `json:"identity,omitempty"`
	Delay    string    `json:"delay,omitempty"`
	Reads    float64   `json:"reads,omitempty"`
	Writes   float64   `json:"writes,omitempty"`
	Count    int       `json:"count,omitempty"`
}

type controlJSON struct {
	Down   bool        `json:"down"`
	Faults []faultJSON `json:"faults"`
}

// ControlHandler returns the handler for ControlPath. GET returns the faults and
// whether the services are down, PUT replaces both, and DELETE removes the
// faults and brings the services up. Serve it on a separate listener, because
// the listener of the services is closed while they are down.
func (s *Stand) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ControlPath, func(w http.ResponseWriter, _ *http.Request) { s.writeControl(w) })
	mux.HandleFunc("PUT "+ControlPath, s.putFaults)
	mux.HandleFunc("DELETE "+ControlPath, func(w http.ResponseWriter, _ *http.Request) {
		s.applyControl(w, controlJSON{})
	})
	return mux
}

func (s *Stand) putFaults(w http.ResponseWriter, r *http.Request) {
	var request controlJSON
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, codes.Wrap(err, codes.UsageBad, "stand: request body is not a valid fault list").Error(), http.StatusBadRequest)
		return
	}
	s.applyControl(w, request)
}

func (s *Stand) applyControl(w http.ResponseWriter, request controlJSON) {
	list := make([]Fault, 0, len(request.Faults))
	for _, f := range request.Faults {
		fault, err := f.toFault()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		list = append(list, fault)
	}
	if err := s.SetFaults(list...); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetDown(request.Down); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.writeControl(w)
}

func (s *Stand) writeControl(w http.ResponseWriter) {
	s.mu.Lock()
	out := controlJSON{Down: s.server == nil, Faults: []faultJSON{}}
	s.mu.Unlock()
	for _, f := range s.Faults() {
		entry := faultJSON{
			Kind: f.Kind, Service: f.Service, Identity: f.ClientID,
			Reads: f.ReadsPerSecond, Writes: f.WritesPerSecond, Count: f.MaxRequests,
		}
		if f.Delay > 0 {
			entry.Delay = f.Delay.String()
		}
		out.Faults = append(out.Faults, entry)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (f faultJSON) toFault() (Fault, error) {
	fault := Fault{
		Kind: f.Kind, Service: f.Service, ClientID: f.Identity,
		ReadsPerSecond: f.Reads, WritesPerSecond: f.Writes, MaxRequests: f.Count,
	}
	if f.Delay == "" {
		return fault, nil
	}
	var err error
	fault.Delay, err = time.ParseDuration(f.Delay)
	return fault, codes.Wrap(err, codes.UsageBad, "stand: delay of the fault is not a duration")
}
