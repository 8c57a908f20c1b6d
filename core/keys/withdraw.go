package keys

import (
	"context"
	"sort"
	"sync"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fanout"
	"azurering/core/seats"
)

// storeTries is how often one call of Withdraw tries to write. Hosts that
// append at the same time make each other's commits fail.
const storeTries = 4

// Report says how far a withdrawal has got.
type Report struct {
	Withdrawal core.Withdrawal
	// Known says that the key is in this host's configuration. A key that is
	// not known is withdrawn all the same, because this host may lag.
	Known bool
	// Durable says that the withdrawal is in the table.
	Durable bool
	// Accepted says that, one freshness bound and its margin from now, no
	// host anywhere answers a check of the key with success.
	Accepted bool
	// InForce names the domains whose acting seat holder has acknowledged,
	// Pending the other domains of the configuration.
	InForce []core.DomainID
	Pending []core.DomainID
	// Needed is the number of domains that acceptance takes.
	Needed int
}

// Withdraw puts a withdrawal in force on this host, spreads it, writes it to
// the table and reports how far it has got. Its error is nil once the
// withdrawal is accepted. Otherwise the error carries WithdrawPending: the
// withdrawal stays in force where it is known, all hosts that know it keep
// trying to write it, and calling Withdraw again continues. An empty or
// contradicting request is refused with RequestBad and changes nothing.
func (k *Keys) Withdraw(ctx context.Context, w core.Withdrawal) (Report, error) {
	w, known, err := k.complete(w)
	if err != nil {
		return Report{}, err
	}
	k.mu.Lock()
	k.merge([]core.Withdrawal{w})
	k.mu.Unlock()
	var acks map[core.DomainID]core.WithdrawAck
	var storeErr error
	jobs := []func(){
		func() { acks = k.askDomains(ctx, w) },
		func() { storeErr = k.store(ctx, w.Key) },
	}
	fanout.Each(k.cfg.MaxConcurrentCalls, len(jobs), func(i int) { jobs[i]() })
	report := k.report(w, acks)
	report.Known = known
	if !report.Durable {
		return report, codes.Wrap(storeErr, codes.WithdrawPending, "keys: withdrawal of key %s is in force in %d domains but not durable",
			w.Key, len(report.InForce))
	}
	// The rows are read after both the commit and the acknowledgements: any
	// later holder then takes the seat after the commit and reads it.
	held, err := k.stillHeld(ctx, acks)
	if err != nil {
		return report, codes.Wrap(err, codes.WithdrawPending, "keys: seats cannot be read after the withdrawal of key %s", w.Key)
	}
	if report.Accepted = held >= report.Needed; !report.Accepted {
		return report, codes.New(codes.WithdrawPending, "keys: withdrawal of key %s is durable, but %d of the %d domains needed have acknowledged it",
			w.Key, held, report.Needed)
	}
	return report, nil
}

// complete checks a withdrawal against the key that it names and fills in
// the workspace.
func (k *Keys) complete(w core.Withdrawal) (core.Withdrawal, bool, error) {
	if w.Key == "" {
		return w, false, codes.New(codes.RequestBad, "keys: withdrawal names no key")
	}
	e := k.index.Load().byName[w.Key]
	if e == nil {
		return w, false, nil
	}
	if w.Workspace != "" && w.Workspace != e.key.Workspace {
		return w, true, codes.New(codes.RequestBad, "keys: key %s belongs to workspace %s, not %s", w.Key, e.key.Workspace, w.Workspace)
	}
	w.Workspace = e.key.Workspace
	return w, true, nil
}

// askDomains pushes a withdrawal to the acting seat holder of each domain
// and returns the acknowledgements of those that act.
func (k *Keys) askDomains(ctx context.Context, w core.Withdrawal) map[core.DomainID]core.WithdrawAck {
	domains := k.cfg.Domains()
	var mu sync.Mutex
	acks := make(map[core.DomainID]core.WithdrawAck, len(domains))
	fanout.Each(k.cfg.MaxConcurrentCalls, len(domains), func(i int) {
		ack, err := k.askDomain(ctx, domains[i], w)
		if err != nil || !ack.Acting || ack.Domain != domains[i] {
			return
		}
		mu.Lock()
		acks[domains[i]] = ack
		mu.Unlock()
	})
	return acks
}

func (k *Keys) askDomain(ctx context.Context, d core.DomainID, w core.Withdrawal) (core.WithdrawAck, error) {
	host, err := k.cfg.Seat.FindHolder(ctx, d)
	if err != nil {
		return core.WithdrawAck{}, err
	}
	var m core.Message
	push := core.WithdrawPush{Withdrawals: []core.Withdrawal{w}}
	if host == k.cfg.Host.Name {
		m, err = k.onPush(ctx, host, push)
	} else {
		m, err = k.call(ctx, host, push)
	}
	if err != nil {
		return core.WithdrawAck{}, err
	}
	ack, ok := m.(core.WithdrawAck)
	if !ok {
		return core.WithdrawAck{}, codes.New(codes.PeerFrame, "keys: host %s answered withdraw-push with %s", host, m.Kind())
	}
	return ack, nil
}

// store writes a withdrawal to the table.
func (k *Keys) store(ctx context.Context, id core.KeyID) error {
	var err error
	for range storeTries {
		if err = k.Poll(ctx); err == nil {
			err = k.append(ctx)
		}
		if k.durable(id) || codes.Is(err, codes.StoreDown) || codes.Is(err, codes.StoreLimit) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (k *Keys) durable(id core.KeyID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, known := k.set[id]
	return known && !k.loose[id]
}

func (k *Keys) report(w core.Withdrawal, acks map[core.DomainID]core.WithdrawAck) Report {
	domains := k.cfg.Domains()
	r := Report{Withdrawal: w, Durable: k.durable(w.Key), Needed: seats.Majority(len(domains))}
	for _, d := range domains {
		if _, ok := acks[d]; ok {
			r.InForce = append(r.InForce, d)
		} else {
			r.Pending = append(r.Pending, d)
		}
	}
	sort.Slice(r.InForce, func(i, j int) bool { return r.InForce[i] < r.InForce[j] })
	sort.Slice(r.Pending, func(i, j int) bool { return r.Pending[i] < r.Pending[j] })
	return r
}

// stillHeld reads the seats and returns the number of domains whose seat is
// still held by the host that has acknowledged, in the same epoch.
func (k *Keys) stillHeld(ctx context.Context, acks map[core.DomainID]core.WithdrawAck) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	views, err := seats.List(ctx, k.cfg.Table)
	if err != nil {
		return 0, err
	}
	held := 0
	for _, v := range views {
		if ack, ok := acks[v.Domain]; ok && ack.Host == v.Holder && ack.Epoch == v.Epoch {
			held++
		}
	}
	return held, nil
}
