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

// maxStoreAttempts is how often one call of Withdraw tries to write. Commits
// of hosts that append at the same time conflict.
const maxStoreAttempts = 4

// Report describes the progress of a withdrawal.
type Report struct {
	Withdrawal core.Withdrawal
	// Known reports whether the key is in this host's configuration. An unknown
	// key is withdrawn as well, because this host may lag.
	Known bool
	// Durable reports whether the withdrawal is in the table.
	Durable bool
	// Accepted reports whether no host will admit the key once one freshness
	// bound and its margin have passed from now.
	Accepted bool
	// InForce names the domains whose acting seat holder has acknowledged the
	// withdrawal, Pending the other configured domains.
	InForce []core.DomainID
	Pending []core.DomainID
	// Needed is the number of domains that must acknowledge before the withdrawal
	// is accepted: a majority.
	Needed int
}

// Withdraw enforces a withdrawal on this host, sends it to the seat holders of
// all domains, writes it to the table and reports its progress. The error is
// nil once the withdrawal is accepted. An error with the code WithdrawPending
// means that it is not accepted yet: it stays in force where it is known, all
// hosts that know it keep trying to write it, and another call of Withdraw
// continues.
//
// A withdrawal without a key, or with a workspace that is not the key's, is
// refused with RequestBad and changes nothing.
func (k *Keys) Withdraw(ctx context.Context, w core.Withdrawal) (Report, error) {
	w, known, err := k.resolveWithdrawal(w)
	if err != nil {
		return Report{}, err
	}
	k.mu.Lock()
	k.merge([]core.Withdrawal{w})
	k.mu.Unlock()
	var acks map[core.DomainID]core.WithdrawAck
	var storeErr error
	jobs := []func(){
		func() { acks = k.pushToDomains(ctx, w) },
		func() { storeErr = k.storeWithdrawal(ctx, w.Key) },
	}
	fanout.Each(k.cfg.MaxConcurrentCalls, len(jobs), func(i int) { jobs[i]() })
	report := k.buildReport(w, acks)
	report.Known = known
	if !report.Durable {
		return report, codes.Wrap(storeErr, codes.WithdrawPending, "keys: withdrawal of key %s is in force in %d domains but not written to the table yet",
			w.Key, len(report.InForce))
	}
	// The seat rows are read after both the commit and the acknowledgements: a
	// host that takes a seat later does so after the commit and therefore reads
	// the withdrawal.
	unchanged, err := k.countUnchanged(ctx, acks)
	if err != nil {
		return report, codes.Wrap(err, codes.WithdrawPending, "keys: seats cannot be read to confirm the withdrawal of key %s", w.Key)
	}
	if report.Accepted = unchanged >= report.Needed; !report.Accepted {
		return report, codes.New(codes.WithdrawPending, "keys: withdrawal of key %s is durable, but %d of the %d domains needed have acknowledged it",
			w.Key, unchanged, report.Needed)
	}
	return report, nil
}

// resolveWithdrawal checks a withdrawal against the key that it names, fills
// in the workspace, and returns whether the key is known.
func (k *Keys) resolveWithdrawal(w core.Withdrawal) (core.Withdrawal, bool, error) {
	if w.Key == "" {
		return w, false, codes.New(codes.RequestBad, "keys: withdrawal does not name a key")
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

// pushToDomains sends a withdrawal to the seat holder of each domain and
// returns the acknowledgements of the holders that act.
func (k *Keys) pushToDomains(ctx context.Context, w core.Withdrawal) map[core.DomainID]core.WithdrawAck {
	domains := k.cfg.Domains()
	var mu sync.Mutex
	acks := make(map[core.DomainID]core.WithdrawAck, len(domains))
	fanout.Each(k.cfg.MaxConcurrentCalls, len(domains), func(i int) {
		ack, err := k.pushToDomain(ctx, domains[i], w)
		if err != nil || !ack.Acting || ack.Domain != domains[i] {
			return
		}
		mu.Lock()
		acks[domains[i]] = ack
		mu.Unlock()
	})
	return acks
}

func (k *Keys) pushToDomain(ctx context.Context, d core.DomainID, w core.Withdrawal) (core.WithdrawAck, error) {
	host, err := k.cfg.Seat.FindHolder(ctx, d)
	if err != nil {
		return core.WithdrawAck{}, err
	}
	var m core.Message
	push := core.WithdrawPush{Withdrawals: []core.Withdrawal{w}}
	if host == k.cfg.Host.Name {
		m, err = k.handlePush(ctx, host, push)
	} else {
		m, err = k.call(ctx, host, push)
	}
	if err != nil {
		return core.WithdrawAck{}, err
	}
	ack, ok := m.(core.WithdrawAck)
	if !ok {
		return core.WithdrawAck{}, codes.New(codes.PeerFrame, "keys: host %s answered withdraw-push with a message of kind %s", host, m.Kind())
	}
	return ack, nil
}

// storeWithdrawal tries to write a withdrawal to the table until it is
// durable, the table is down or throttles, the context ends, or the attempts
// are used up.
func (k *Keys) storeWithdrawal(ctx context.Context, id core.KeyID) error {
	var err error
	for range maxStoreAttempts {
		if err = k.Poll(ctx); err == nil {
			err = k.appendToLog(ctx)
		}
		if k.isDurable(id) || codes.Is(err, codes.StoreDown) || codes.Is(err, codes.StoreLimit) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (k *Keys) isDurable(id core.KeyID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, known := k.withdrawn[id]
	return known && !k.unstored[id]
}

func (k *Keys) buildReport(w core.Withdrawal, acks map[core.DomainID]core.WithdrawAck) Report {
	domains := k.cfg.Domains()
	r := Report{Withdrawal: w, Durable: k.isDurable(w.Key), Needed: seats.Majority(len(domains))}
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

// countUnchanged reads the seat rows and returns the number of domains whose
// seat is still held, in the same epoch, by the host that acknowledged.
func (k *Keys) countUnchanged(ctx context.Context, acks map[core.DomainID]core.WithdrawAck) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	views, err := seats.List(ctx, k.cfg.Table)
	if err != nil {
		return 0, err
	}
	unchanged := 0
	for _, v := range views {
		if ack, ok := acks[v.Domain]; ok && ack.Host == v.Holder && ack.Epoch == v.Epoch {
			unchanged++
		}
	}
	return unchanged, nil
}
