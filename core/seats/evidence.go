package seats

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"azurering/core"
)

// noTime stands for evidence that does not exist. It cannot be zero: evidence
// relayed to a host that has just started may have a negative local time.
const noTime = time.Duration(math.MinInt64)

// EvidenceConfig configures an Evidence.
type EvidenceConfig struct {
	Timer core.Timer
	// FreshnessBound is the freshness bound. Zero means
	// DefaultFreshnessBound.
	FreshnessBound time.Duration
	// Domains returns the failure domains of the active configuration.
	Domains func() []core.DomainID
	// HasApplied reports whether this host has applied everything that a host with
	// the given configuration version and withdrawal digest has applied.
	HasApplied func(version, withdrawn uint64) bool
	// AppliedState returns the configuration version and the withdrawal digest that this
	// host has applied.
	AppliedState func() (version, withdrawn uint64)
}

// Evidence keeps the freshness evidence of one host: the latest local time t
// such that the host is known to have applied everything that was accepted
// before t. It is safe for concurrent use.
type Evidence struct {
	cfg EvidenceConfig
	// provenAt is the time of the evidence in nanoseconds, or noTime. It never
	// decreases.
	provenAt atomic.Int64

	mu sync.Mutex
	// storeReads holds the start of the latest store read per space, attestedAt
	// the time of the latest attestation per domain.
	storeReads map[core.Space]time.Duration
	attestedAt map[core.DomainID]time.Duration
}

// NewEvidence returns an Evidence of a host that is not fresh yet.
func NewEvidence(cfg EvidenceConfig) *Evidence {
	if cfg.FreshnessBound == 0 {
		cfg.FreshnessBound = DefaultFreshnessBound
	}
	e := &Evidence{
		cfg:        cfg,
		storeReads: map[core.Space]time.Duration{core.SpaceConfig: noTime, core.SpaceWithdrawn: noTime},
		attestedAt: make(map[core.DomainID]time.Duration),
	}
	e.provenAt.Store(int64(noTime))
	return e
}

// Bound returns the freshness bound.
func (e *Evidence) Bound() time.Duration { return e.cfg.FreshnessBound }

// Fresh reports whether the evidence is younger than the freshness bound at
// the local time now. It takes no lock.
func (e *Evidence) Fresh(now time.Duration) bool {
	at := time.Duration(e.provenAt.Load())
	return at != noTime && now-at < e.cfg.FreshnessBound
}

// Age returns the age of the evidence at the local time now, or false if there
// is none.
func (e *Evidence) Age(now time.Duration) (time.Duration, bool) {
	at := time.Duration(e.provenAt.Load())
	if at == noTime {
		return 0, false
	}
	return max(0, now-at), true
}

// StoreReadAt returns the local time up to which store reads alone are evidence:
// the earlier of the starts of the latest read of the configuration head and
// of the withdrawals. It returns false if one of the two was never read.
func (e *Evidence) StoreReadAt() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.storeAt()
	return at, at != noTime
}

func (e *Evidence) storeAt() time.Duration {
	return min(e.storeReads[core.SpaceConfig], e.storeReads[core.SpaceWithdrawn])
}

// RecordStoreRead records a store read of the configuration head
// (core.SpaceConfig) or of the withdrawals (core.SpaceWithdrawn) that started
// at the local time started and whose result has been applied. Other spaces
// are ignored.
func (e *Evidence) RecordStoreRead(space core.Space, started time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.storeReads[space]
	if !ok || started <= old {
		return
	}
	e.storeReads[space] = started
	e.advance(e.storeAt())
}

// RecordAttestation records that the acting seat holder of a domain answered a
// request sent at the local time asked. The caller has made sure that this
// host covers the state in the answer.
func (e *Evidence) RecordAttestation(domain core.DomainID, asked time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordAttestation(domain, asked)
	e.advance(e.majorityAt())
}

func (e *Evidence) recordAttestation(domain core.DomainID, at time.Duration) {
	if old, ok := e.attestedAt[domain]; !ok || at > old {
		e.attestedAt[domain] = at
	}
}

// RecordRelay records that a host with evidence of the given age answered a
// request sent at the local time asked. The caller has made sure that this
// host covers the state in the answer. A negative age, or one above the bound,
// is ignored.
func (e *Evidence) RecordRelay(asked, age time.Duration) {
	if age < 0 || age > e.cfg.FreshnessBound {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(asked - age)
}

// advance moves the time of the evidence forward to at, if that is later. What
// was proven once stays proven, so the time never goes back. The caller holds
// mu.
func (e *Evidence) advance(at time.Duration) {
	if at > time.Duration(e.provenAt.Load()) {
		e.provenAt.Store(int64(at))
	}
}

// majorityAt returns the latest time for which a majority of the configured
// domains has attested, or noTime.
func (e *Evidence) majorityAt() time.Duration {
	domains := e.cfg.Domains()
	times := make([]time.Duration, 0, len(domains))
	for _, d := range domains {
		if at, ok := e.attestedAt[d]; ok {
			times = append(times, at)
		}
	}
	need := Majority(len(domains))
	if len(domains) == 0 || len(times) < need {
		return noTime
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[need-1]
}

// Majority returns the smallest number of domains that is a majority of n.
func Majority(n int) int { return n/2 + 1 }

// FillHeartbeat sets the fields of a heartbeat that carry evidence. EvidenceAge and
// EvidenceFresh describe the evidence as a whole, since a majority of attestations
// proves as much as a store read. DomainAges lists the single attestations only
// while the evidence is older than half of the bound; then they may still
// complete a majority at the receiver. ConfigVersion and WithdrawalDigest
// are read after the ages, so that they cover the evidence.
func (e *Evidence) FillHeartbeat(now time.Duration, b *core.Heartbeat) {
	age, seen := e.Age(now)
	b.EvidenceAge, b.EvidenceFresh, b.DomainAges = 0, false, nil
	if seen && age < e.cfg.FreshnessBound {
		b.EvidenceAge, b.EvidenceFresh = age, true
	}
	if !b.EvidenceFresh || age > e.cfg.FreshnessBound/2 {
		b.DomainAges = e.attestationAges(now)
	}
	b.ConfigVersion, b.WithdrawalDigest = e.cfg.AppliedState()
}

func (e *Evidence) attestationAges(now time.Duration) []core.EvidenceAge {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []core.EvidenceAge
	for _, d := range e.cfg.Domains() {
		if at, ok := e.attestedAt[d]; ok && now-at < e.cfg.FreshnessBound {
			out = append(out, core.EvidenceAge{Domain: d, Age: max(0, now-at)})
		}
	}
	return out
}

// MergeHeartbeat records the evidence in the answer to a heartbeat that this host sent
// at the local time asked. It must not be called for an incoming heartbeat
// that is not an answer, because the local time of its sending is unknown. If
// this host does not cover the sender's state, MergeHeartbeat records nothing and
// returns false; the caller then pulls what is missing and calls MergeHeartbeat
// again.
func (e *Evidence) MergeHeartbeat(asked time.Duration, b core.Heartbeat) bool {
	if !e.cfg.HasApplied(b.ConfigVersion, b.WithdrawalDigest) {
		return false
	}
	if b.EvidenceFresh {
		e.RecordRelay(asked, b.EvidenceAge)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range b.DomainAges {
		if a.Age >= 0 && a.Age < e.cfg.FreshnessBound {
			e.recordAttestation(a.Domain, asked-a.Age)
		}
	}
	e.advance(e.majorityAt())
	return true
}
