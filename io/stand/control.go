package stand

import (
	"encoding/json"
	"net/http"
	"time"

	"azurering/core/codes"
)

// maxControl bounds the body of a control request in bytes.
const maxControl = 1 << 16

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

// Control returns the handler of the control path: GET returns the faults,
// PUT replaces them, DELETE removes them. It has to be mounted on a listener
// of its own, because that of the services closes while they are down.
func (s *Stand) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ControlPath, func(w http.ResponseWriter, _ *http.Request) { s.showFaults(w) })
	mux.HandleFunc("PUT "+ControlPath, s.putFaults)
	mux.HandleFunc("DELETE "+ControlPath, func(w http.ResponseWriter, _ *http.Request) {
		s.changeFaults(w, controlJSON{})
	})
	return mux
}

func (s *Stand) putFaults(w http.ResponseWriter, r *http.Request) {
	var wanted controlJSON
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		http.Error(w, codes.Wrap(err, codes.UsageBad, "stand: malformed faults").Error(), http.StatusBadRequest)
		return
	}
	s.changeFaults(w, wanted)
}

func (s *Stand) changeFaults(w http.ResponseWriter, wanted controlJSON) {
	list := make([]Fault, 0, len(wanted.Faults))
	for _, f := range wanted.Faults {
		fault, err := f.fault()
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
	if err := s.SetDown(wanted.Down); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.showFaults(w)
}

func (s *Stand) showFaults(w http.ResponseWriter) {
	s.mu.Lock()
	out := controlJSON{Down: s.server == nil, Faults: []faultJSON{}}
	s.mu.Unlock()
	for _, f := range s.Faults() {
		shown := faultJSON{
			Kind: f.Kind, Service: f.Service, Identity: f.Identity,
			Reads: f.Reads, Writes: f.Writes, Count: f.Count,
		}
		if f.Delay > 0 {
			shown.Delay = f.Delay.String()
		}
		out.Faults = append(out.Faults, shown)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (f faultJSON) fault() (Fault, error) {
	fault := Fault{
		Kind: f.Kind, Service: f.Service, Identity: f.Identity,
		Reads: f.Reads, Writes: f.Writes, Count: f.Count,
	}
	if f.Delay == "" {
		return fault, nil
	}
	var err error
	fault.Delay, err = time.ParseDuration(f.Delay)
	return fault, codes.Wrap(err, codes.UsageBad, "stand: malformed delay")
}
