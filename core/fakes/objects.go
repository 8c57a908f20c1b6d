package fakes

import (
	"context"
	"sync"

	"azurering/core"
	"azurering/core/codes"
)

// Objects is an in-memory core.ObjectStore. The zero value is ready to use. It
// is safe for concurrent use.
type Objects struct {
	mu     sync.Mutex
	bodies map[string][]byte
	fault  Fault
}

// SetFault sets the fault of all later calls.
func (o *Objects) SetFault(f Fault) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fault = f
}

// Put implements core.ObjectStore.
func (o *Objects) Put(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch o.fault {
	case FaultUnavailable:
		return codes.New(codes.StoreDown, "fakes: object store is down")
	case FaultThrottled:
		return codes.New(codes.StoreLimit, "fakes: object store is throttled")
	case FaultLostRequest:
		return codes.New(codes.StoreUnknown, "fakes: put request was lost")
	}
	if o.bodies == nil {
		o.bodies = make(map[string][]byte)
	}
	o.bodies[name] = append([]byte(nil), body...)
	if o.fault == FaultLostResponse {
		return codes.New(codes.StoreUnknown, "fakes: answer of the put was lost")
	}
	return nil
}

// Get implements core.ObjectStore.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fault == FaultUnavailable {
		return nil, codes.New(codes.StoreDown, "fakes: object store is down")
	}
	if o.fault == FaultThrottled {
		return nil, codes.New(codes.StoreLimit, "fakes: object store is throttled")
	}
	body, ok := o.bodies[name]
	if !ok {
		return nil, codes.New(codes.StoreAbsent, "fakes: no object %s", name)
	}
	return append([]byte(nil), body...), nil
}

// Roster is an in-memory core.Roster. The zero value lists no hosts. It is safe
// for concurrent use.
type Roster struct {
	mu    sync.Mutex
	hosts []core.Host
	fault Fault
}

// Set replaces the list of hosts.
func (r *Roster) Set(hosts []core.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append([]core.Host(nil), hosts...)
}

// SetFault sets the fault of all later calls.
func (r *Roster) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Hosts implements core.Roster.
func (r *Roster) Hosts(context.Context) ([]core.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault == FaultUnavailable {
		return nil, codes.New(codes.StoreDown, "fakes: host list is down")
	}
	if r.fault == FaultThrottled {
		return nil, codes.New(codes.StoreLimit, "fakes: host list is throttled")
	}
	return append([]core.Host(nil), r.hosts...), nil
}
