package seats

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fanout"
)

// onAttest answers Attest. The right to act is read before the age, and the
// age before the state, so that the state covers both.
func (s *Seat) onAttest(_ context.Context, _ core.HostID, _ core.Message) (core.Message, error) {
	epoch, acting := s.Acting()
	age, seen := s.cfg.Evidence.Age(s.now())
	version, withdrawn := s.cfg.Evidence.cfg.AppliedState()
	v := s.View()
	if !acting {
		epoch = v.Epoch
	}
	return core.Attestation{
		Domain: s.cfg.Host.Domain, Host: s.cfg.Host.Name, Epoch: epoch, Acting: acting,
		ConfigVersion: version, WithdrawalDigest: withdrawn,
		Holder: v.Holder, Candidates: v.Candidates, Fresh: seen && age < s.bound, EvidenceAge: age,
	}, nil
}

// onPromise answers SeatPromise. A run that has not read the row gives no
// promise: an earlier run of the host may have taken the seat, and the asker
// may be a holder that was replaced.
func (s *Seat) onPromise(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	q, ok := m.(core.SeatPromiseRequest)
	if !ok || q.Domain != s.cfg.Host.Domain {
		return nil, codes.New(codes.PeerRefused, "seats: promise is not for the seat of domain %s", s.cfg.Host.Domain)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := max(s.row.Epoch, s.hint.Epoch)
	begun := s.holding || (s.pending != nil && s.pending.take)
	if !s.read || known < q.Epoch {
		s.alarm = true
	}
	return core.SeatPromiseResponse{Granted: s.read && !begun && known <= q.Epoch, Epoch: max(known, q.Epoch)}, nil
}

func (s *Seat) call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout/2)
	defer cancel()
	return s.cfg.Peers.Call(ctx, to, m)
}

// askPromises asks the other candidates for promises: each period while the
// own reads are older than half of the bound, and otherwise only now and
// then, so that a new or restarted candidate reads the row while the store
// is up.
func (s *Seat) askPromises(ctx context.Context) {
	now := s.now()
	s.mu.Lock()
	limit := 8 * s.bound
	if now-s.readAt > s.bound/2 {
		limit = s.period() / 2
	}
	asked := make(map[core.HostID]bool)
	rows := []row{s.row}
	if s.pending != nil {
		rows = append(rows, s.pending.row)
	}
	var hosts []core.HostID
	for _, r := range rows {
		for _, c := range r.others(s.cfg.Host.Name) {
			if at, ok := s.promised[c]; !asked[c] && (!ok || now-at > limit) {
				asked[c] = true
				hosts = append(hosts, c)
			}
		}
	}
	epoch := s.row.Epoch
	s.mu.Unlock()
	if len(hosts) == 0 || !s.every("promise", s.period()) {
		return
	}
	fanout.Each(s.cfg.MaxConcurrentCalls, len(hosts), func(i int) { s.askPromise(ctx, hosts[i], epoch) })
}

func (s *Seat) askPromise(ctx context.Context, to core.HostID, epoch uint64) {
	asked := s.now()
	m, err := s.call(ctx, to, core.SeatPromiseRequest{Domain: s.cfg.Host.Domain, Epoch: epoch})
	if err != nil {
		return
	}
	answer, ok := m.(core.SeatPromiseResponse)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.Epoch > s.row.Epoch {
		s.alarm = true
	}
	// The lease counts from the question: the candidate gave its promise
	// after it, and a takeover that it begins later waits out the bound.
	if answer.Granted && s.holding && s.row.Epoch == epoch {
		s.promised[to] = asked
	}
}

// attest asks a host for an attestation and records what its answer proves.
func (s *Seat) attest(ctx context.Context, to core.HostID) (core.Attestation, error) {
	asked := s.now()
	m, err := s.call(ctx, to, core.AttestRequest{})
	if err != nil {
		return core.Attestation{}, errors.Wrapf(err, "seats: host %s did not attest", to)
	}
	a, ok := m.(core.Attestation)
	if !ok {
		return core.Attestation{}, codes.New(codes.PeerFrame, "seats: host %s answered attest with %s", to, m.Kind())
	}
	s.note(to, a)
	if !a.Acting && !a.Fresh {
		return a, nil
	}
	if !s.cover(ctx, to, a) {
		return a, nil
	}
	if a.Acting {
		s.cfg.Evidence.RecordAttestation(a.Domain, asked)
	}
	if a.Fresh {
		s.cfg.Evidence.RecordRelay(asked, a.EvidenceAge)
	}
	return a, nil
}

// cover brings this host to the state of an answer and reports whether it
// got there. Evidence counts only then.
func (s *Seat) cover(ctx context.Context, from core.HostID, a core.Attestation) bool {
	covers := s.cfg.Evidence.cfg.HasApplied
	if covers(a.ConfigVersion, a.WithdrawalDigest) {
		return true
	}
	if s.cfg.CatchUp == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout/2)
	defer cancel()
	if err := s.cfg.CatchUp(ctx, from, a.ConfigVersion, a.WithdrawalDigest); err != nil {
		return false
	}
	return covers(a.ConfigVersion, a.WithdrawalDigest)
}

// note keeps what an answer says about the seat of the answering host.
func (s *Seat) note(from core.HostID, a core.Attestation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Domain != s.cfg.Host.Domain {
		switch {
		case a.Acting:
			s.remote[a.Domain] = from
		case a.Holder != "" && a.Holder != from:
			s.remote[a.Domain] = a.Holder
		default:
			delete(s.remote, a.Domain)
		}
		return
	}
	known := s.view()
	// Second-hand news of the same epoch may be older than what is known.
	direct := a.Epoch == known.Epoch && (a.Acting || from == known.Holder)
	if a.Epoch > known.Epoch || (direct && !s.holding) {
		s.hint = View{Domain: a.Domain, Holder: a.Holder, Epoch: a.Epoch, Candidates: a.Candidates}
	}
}

// target returns the host to ask about a remote domain: the holder if it is
// known, or else one live host after the other.
func (s *Seat) target(d core.DomainID) core.HostID {
	s.mu.Lock()
	host := s.remote[d]
	s.turn++
	turn := s.turn
	s.mu.Unlock()
	if host != "" {
		return host
	}
	hosts := s.cfg.RemoteHosts(d)
	if len(hosts) == 0 {
		return ""
	}
	return hosts[turn%len(hosts)].Name
}

// seek asks the seat holder of a remote domain to attest, and follows one
// hint to it.
func (s *Seat) seek(ctx context.Context, d core.DomainID) (core.HostID, error) {
	host := s.target(d)
	if host == "" {
		return "", codes.New(codes.SeatLost, "seats: no host of domain %s is known", d)
	}
	a, err := s.attest(ctx, host)
	if err == nil && !a.Acting && a.Holder != "" && a.Holder != host {
		host = a.Holder
		a, err = s.attest(ctx, host)
	}
	if err == nil && a.Acting && a.Domain == d {
		return host, nil
	}
	s.mu.Lock()
	delete(s.remote, d)
	s.mu.Unlock()
	if err != nil {
		return "", err
	}
	return "", codes.New(codes.SeatLost, "seats: no acting holder of domain %s was found", d)
}

// findTries is how many hosts of a remote domain Find asks, so that one dead
// host does not hide the holder.
const findTries = 3

// FindHolder returns the acting seat holder of a domain, or an error with the code
// SeatLost or that of the peer. It is safe for concurrent use.
func (s *Seat) FindHolder(ctx context.Context, d core.DomainID) (core.HostID, error) {
	if d != s.cfg.Host.Domain {
		return s.findRemote(ctx, d)
	}
	if _, acting := s.Acting(); acting {
		return s.cfg.Host.Name, nil
	}
	holder, _ := s.Holder()
	if holder == "" || holder == s.cfg.Host.Name {
		return "", codes.New(codes.SeatLost, "seats: own domain %s has no acting holder", d)
	}
	a, err := s.attest(ctx, holder)
	if err != nil {
		return "", err
	}
	if !a.Acting {
		return "", codes.New(codes.SeatLost, "seats: holder %s of domain %s does not act", holder, d)
	}
	return holder, nil
}

func (s *Seat) findRemote(ctx context.Context, d core.DomainID) (core.HostID, error) {
	var last error
	for range findTries {
		host, err := s.seek(ctx, d)
		if err == nil {
			return host, nil
		}
		last = err
	}
	return "", last
}

// refresh renews the evidence while it is older than half of the bound. The
// cheapest source comes first: a host of the own domain, then two remote
// domains whose evidence may be relayed, then a majority of the domains,
// then all of them.
func (s *Seat) refresh(ctx context.Context) error {
	if _, acting := s.Acting(); acting {
		s.cfg.Evidence.RecordAttestation(s.cfg.Host.Domain, s.now())
	}
	if s.young(s.bound/2) || !s.every("refresh", s.period()) {
		return nil
	}
	holding := s.isHolding()
	if !holding {
		s.askNear(ctx)
	}
	// A host that is no candidate leaves the questions to other domains to
	// the candidates until its own evidence is about to end.
	limit := s.bound / 2
	if v := s.View(); !holding && !(row{View: v}).names(s.cfg.Host.Name) {
		limit = 3 * s.bound / 4
	}
	if s.young(limit) {
		return nil
	}
	return s.askFar(ctx, limit)
}

func (s *Seat) young(limit time.Duration) bool {
	age, ok := s.cfg.Evidence.Age(s.now())
	return ok && age <= limit
}

// askFar asks remote domains in growing batches until the evidence is young.
// All batches together get one CallTimeout, and the first ones a part of it,
// so that hosts that do not answer use up neither the others' time nor the
// seat's.
func (s *Seat) askFar(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	var domains []core.DomainID
	all := s.cfg.Domains()
	for _, d := range all {
		if d != s.cfg.Host.Domain {
			domains = append(domains, d)
		}
	}
	if len(domains) == 0 {
		return nil
	}
	s.mu.Lock()
	start := (s.turn + spread(s.cfg.Host.Name)) % len(domains)
	s.mu.Unlock()
	domains = append(domains[start:], domains[:start]...)
	var mu sync.Mutex
	var last error
	from := 0
	for i, to := range []int{2, Majority(len(all)), len(domains)} {
		to = min(to, len(domains))
		part, done := context.WithTimeout(ctx, s.cfg.CallTimeout*time.Duration(i+2)/8)
		fanout.Each(s.cfg.MaxConcurrentCalls, to-from, func(i int) {
			if _, err := s.seek(part, domains[from+i]); err != nil {
				mu.Lock()
				last = err
				mu.Unlock()
			}
		})
		done()
		if from = to; s.young(limit) {
			return nil
		}
	}
	return last
}
