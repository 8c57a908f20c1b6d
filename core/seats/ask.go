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

// handleAttest answers attest. It reads the right to act before the age, and
// the age before the state, so that the reported state is at least as new as
// the evidence claims.
func (s *Seat) handleAttest(_ context.Context, _ core.HostID, _ core.Message) (core.Message, error) {
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

// handlePromise answers seat-promise. A run that has not read the row gives no
// promise: an earlier run of this host may have taken the seat, and the sender
// may be the holder that it replaced.
func (s *Seat) handlePromise(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	request, ok := m.(core.SeatPromiseRequest)
	if !ok || request.Domain != s.cfg.Host.Domain {
		return nil, codes.New(codes.PeerRefused, "seats: seat-promise request does not name the seat of domain %s", s.cfg.Host.Domain)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := max(s.row.Epoch, s.peerView.Epoch)
	taking := s.holding || (s.pending != nil && s.pending.takeover)
	if !s.hasRow || known < request.Epoch {
		s.rereadRow = true
	}
	return core.SeatPromiseResponse{Granted: s.hasRow && !taking && known <= request.Epoch, Epoch: max(known, request.Epoch)}, nil
}

func (s *Seat) call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout/2)
	defer cancel()
	return s.cfg.Peers.Call(ctx, to, m)
}

// requestPromises asks the other candidates for promises. While the last
// confirmation by the table is older than half of the bound, it does so in
// each period; otherwise only every eight bounds, so that a new or restarted
// candidate reads the row while the table is up.
func (s *Seat) requestPromises(ctx context.Context) {
	now := s.now()
	s.mu.Lock()
	maxAge := 8 * s.bound
	if now-s.confirmedAt > s.bound/2 {
		maxAge = s.period() / 2
	}
	selected := make(map[core.HostID]bool)
	rows := []row{s.row}
	if s.pending != nil {
		rows = append(rows, s.pending.row)
	}
	var hosts []core.HostID
	for _, r := range rows {
		for _, c := range r.candidatesExcept(s.cfg.Host.Name) {
			if at, ok := s.promisedAt[c]; !selected[c] && (!ok || now-at > maxAge) {
				selected[c] = true
				hosts = append(hosts, c)
			}
		}
	}
	epoch := s.row.Epoch
	s.mu.Unlock()
	if len(hosts) == 0 || !s.startIfDue("promise", s.period()) {
		return
	}
	fanout.Each(s.cfg.MaxConcurrentCalls, len(hosts), func(i int) { s.requestPromise(ctx, hosts[i], epoch) })
}

func (s *Seat) requestPromise(ctx context.Context, to core.HostID, epoch uint64) {
	sentAt := s.now()
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
		s.rereadRow = true
	}
	// A promise counts from the time of the request: the candidate gave it later,
	// and a takeover that it starts after that waits for the bound to end.
	if answer.Granted && s.holding && s.row.Epoch == epoch {
		s.promisedAt[to] = sentAt
	}
}

// requestAttestation asks a host for an attestation and records the evidence
// in its answer.
func (s *Seat) requestAttestation(ctx context.Context, to core.HostID) (core.Attestation, error) {
	sentAt := s.now()
	m, err := s.call(ctx, to, core.AttestRequest{})
	if err != nil {
		return core.Attestation{}, errors.Wrapf(err, "seats: host %s did not answer attest", to)
	}
	a, ok := m.(core.Attestation)
	if !ok {
		return core.Attestation{}, codes.New(codes.PeerFrame, "seats: host %s answered attest with a message of kind %s", to, m.Kind())
	}
	s.updateHolder(to, a)
	if !a.Acting && !a.Fresh {
		return a, nil
	}
	if !s.catchUp(ctx, to, a) {
		return a, nil
	}
	if a.Acting {
		s.cfg.Evidence.RecordAttestation(a.Domain, sentAt)
	}
	if a.Fresh {
		s.cfg.Evidence.RecordRelay(sentAt, a.EvidenceAge)
	}
	return a, nil
}

// catchUp brings this host to the state that an attestation names and reports
// whether it reached it. The attestation is evidence only then.
func (s *Seat) catchUp(ctx context.Context, from core.HostID, a core.Attestation) bool {
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

// updateHolder records what an attestation says about the seat of the
// answering host's domain.
func (s *Seat) updateHolder(from core.HostID, a core.Attestation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Domain != s.cfg.Host.Domain {
		switch {
		case a.Acting:
			s.remoteHolders[a.Domain] = from
		case a.Holder != "" && a.Holder != from:
			s.remoteHolders[a.Domain] = a.Holder
		default:
			delete(s.remoteHolders, a.Domain)
		}
		return
	}
	known := s.viewLocked()
	// Within one epoch only the holder's own answer is certain to be newer than
	// the known state.
	direct := a.Epoch == known.Epoch && (a.Acting || from == known.Holder)
	if a.Epoch > known.Epoch || (direct && !s.holding) {
		s.peerView = View{Domain: a.Domain, Holder: a.Holder, Epoch: a.Epoch, Candidates: a.Candidates}
	}
}

// remoteTarget returns the host to ask about a remote domain: its holder if
// known, otherwise its live hosts in turn. It returns an empty id if no host
// is known.
func (s *Seat) remoteTarget(d core.DomainID) core.HostID {
	s.mu.Lock()
	host := s.remoteHolders[d]
	s.rotation++
	rotation := s.rotation
	s.mu.Unlock()
	if host != "" {
		return host
	}
	hosts := s.cfg.RemoteHosts(d)
	if len(hosts) == 0 {
		return ""
	}
	return hosts[rotation%len(hosts)].Name
}

// attestRemote requests an attestation from the seat holder of a remote domain
// and returns the holder. If the first host names another holder, that one is
// asked too.
func (s *Seat) attestRemote(ctx context.Context, d core.DomainID) (core.HostID, error) {
	host := s.remoteTarget(d)
	if host == "" {
		return "", codes.New(codes.SeatLost, "seats: no live host of domain %s is known", d)
	}
	a, err := s.requestAttestation(ctx, host)
	if err == nil && !a.Acting && a.Holder != "" && a.Holder != host {
		host = a.Holder
		a, err = s.requestAttestation(ctx, host)
	}
	if err == nil && a.Acting && a.Domain == d {
		return host, nil
	}
	s.mu.Lock()
	delete(s.remoteHolders, d)
	s.mu.Unlock()
	if err != nil {
		return "", err
	}
	return "", codes.New(codes.SeatLost, "seats: no acting holder of domain %s was found", d)
}

// maxFindAttempts is the number of hosts of a remote domain that FindHolder
// tries, so that one dead host does not make it fail.
const maxFindAttempts = 3

// FindHolder returns the acting seat holder of a domain. Its error has the code
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
	a, err := s.requestAttestation(ctx, holder)
	if err != nil {
		return "", err
	}
	if !a.Acting {
		return "", codes.New(codes.SeatLost, "seats: holder %s of domain %s does not act", holder, d)
	}
	return holder, nil
}

func (s *Seat) findRemote(ctx context.Context, d core.DomainID) (core.HostID, error) {
	var lastErr error
	for range maxFindAttempts {
		host, err := s.attestRemote(ctx, d)
		if err == nil {
			return host, nil
		}
		lastErr = err
	}
	return "", lastErr
}

// renewEvidence renews the evidence once it is older than half of the bound.
// It starts with the cheapest source: a host of the own domain, then two
// remote domains, whose holders may relay their evidence, then a majority of
// the domains, then all.
func (s *Seat) renewEvidence(ctx context.Context) error {
	if _, acting := s.Acting(); acting {
		s.cfg.Evidence.RecordAttestation(s.cfg.Host.Domain, s.now())
	}
	if s.isEvidenceWithin(s.bound/2) || !s.startIfDue("refresh", s.period()) {
		return nil
	}
	holding := s.isHolding()
	if !holding {
		s.askLocalHost(ctx)
	}
	// A host that is not a candidate leaves remote requests to the candidates
	// until its own evidence is close to expiry.
	maxAge := s.bound / 2
	if v := s.View(); !holding && !(row{View: v}).hasCandidate(s.cfg.Host.Name) {
		maxAge = 3 * s.bound / 4
	}
	if s.isEvidenceWithin(maxAge) {
		return nil
	}
	return s.askRemoteDomains(ctx, maxAge)
}

func (s *Seat) isEvidenceWithin(maxAge time.Duration) bool {
	age, ok := s.cfg.Evidence.Age(s.now())
	return ok && age <= maxAge
}

// askRemoteDomains requests attestations from remote domains in growing
// batches until the evidence is no older than maxAge. All batches together get
// one CallTimeout and the early ones only a part of it, so that hosts that do
// not answer delay neither the other domains nor the seat.
func (s *Seat) askRemoteDomains(ctx context.Context, maxAge time.Duration) error {
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
	start := (s.rotation + hostHash(s.cfg.Host.Name)) % len(domains)
	s.mu.Unlock()
	domains = append(domains[start:], domains[:start]...)
	var mu sync.Mutex
	var lastErr error
	from := 0
	for i, to := range []int{2, Majority(len(all)), len(domains)} {
		to = min(to, len(domains))
		batchCtx, cancelBatch := context.WithTimeout(ctx, s.cfg.CallTimeout*time.Duration(i+2)/8)
		fanout.Each(s.cfg.MaxConcurrentCalls, to-from, func(i int) {
			if _, err := s.attestRemote(batchCtx, domains[from+i]); err != nil {
				mu.Lock()
				lastErr = err
				mu.Unlock()
			}
		})
		cancelBatch()
		if from = to; s.isEvidenceWithin(maxAge) {
			return nil
		}
	}
	return lastErr
}
