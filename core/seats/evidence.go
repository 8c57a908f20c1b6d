package seats

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"azurering/core"
)

// none is the time of evidence that does not exist. Evidence relayed to a
// host that has just started may have a negative local time, so zero does
// not serve.
const none = time.Duration(math.MinInt64)

// EvidenceConfig configures an Evidence.
type EvidenceConfig struct {
	Timer core.Timer
	// FreshnessBound is the freshness bound. Zero means DefaultBound.
	FreshnessBound time.Duration
	// Domains returns the failure domains of the configuration in force.
	Domains func() []core.DomainID
	// HasApplied reports whether this host has applied all that a host with the
	// given configuration version and withdrawal digest has applied.
	HasApplied func(version, withdrawn uint64) bool
	// AppliedState returns the configuration version and the withdrawal digest in
	// force on this host.
	AppliedState func() (version, withdrawn uint64)
}

// Evidence is the freshness evidence of one host: the latest local time t
// for which the host is known to have applied everything that was accepted
// before t. It is safe for concurrent use.
type Evidence struct {
	cfg  EvidenceConfig
	best atomic.Int64

	mu       sync.Mutex
	store    map[core.Space]time.Duration
	attested map[core.DomainID]time.Duration
}

// NewEvidence returns an Evidence that holds nothing.
func NewEvidence(cfg EvidenceConfig) *Evidence {
	if cfg.FreshnessBound == 0 {
		cfg.FreshnessBound = DefaultFreshnessBound
	}
	e := &Evidence{
		cfg:      cfg,
		store:    map[core.Space]time.Duration{core.SpaceConfig: none, core.SpaceWithdrawn: none},
		attested: make(map[core.DomainID]time.Duration),
	}
	e.best.Store(int64(none))
	return e
}

// Bound returns the freshness bound.
func (e *Evidence) Bound() time.Duration { return e.cfg.FreshnessBound }

// Fresh reports whether the evidence is younger than the freshness bound at
// the local time now. It takes no lock.
func (e *Evidence) Fresh(now time.Duration) bool {
	at := time.Duration(e.best.Load())
	return at != none && now-at < e.cfg.FreshnessBound
}

// Age returns the age of the evidence at the local time now. It reports
// false if there is none.
func (e *Evidence) Age(now time.Duration) (time.Duration, bool) {
	at := time.Duration(e.best.Load())
	if at == none {
		return 0, false
	}
	return max(0, now-at), true
}

// StoreReadAt returns the start of the latest store reads that covered both the
// configuration head and the withdrawals. It reports false if one of the two
// was never read.
func (e *Evidence) StoreReadAt() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.storeAt()
	return at, at != none
}

func (e *Evidence) storeAt() time.Duration {
	return min(e.store[core.SpaceConfig], e.store[core.SpaceWithdrawn])
}

// RecordStoreRead records a read of the configuration head (core.SpaceConfig) or
// of the withdrawals (core.SpaceWithdrawn) that started at the local time
// started and whose result has been applied. Other spaces do not count.
func (e *Evidence) RecordStoreRead(space core.Space, started time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.store[space]
	if !ok || started <= old {
		return
	}
	e.store[space] = started
	e.raise(e.storeAt())
}

// RecordAttestation records that the acting seat holder of a domain answered
// a question asked at the local time asked, and that this host covers the
// state named in the answer.
func (e *Evidence) RecordAttestation(domain core.DomainID, asked time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordAttestation(domain, asked)
	e.raise(e.majorityAt())
}

func (e *Evidence) recordAttestation(domain core.DomainID, at time.Duration) {
	if old, ok := e.attested[domain]; !ok || at > old {
		e.attested[domain] = at
	}
}

// RecordRelay records that a host whose evidence has the given age answered
// a question asked at the local time asked, and that this host covers the
// state named in the answer.
func (e *Evidence) RecordRelay(asked, age time.Duration) {
	if age < 0 || age > e.cfg.FreshnessBound {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.raise(asked - age)
}

// raise sets the time of the evidence unless it is already later. What was
// known once stays known, so it never goes back.
func (e *Evidence) raise(at time.Duration) {
	if at > time.Duration(e.best.Load()) {
		e.best.Store(int64(at))
	}
}

// majorityAt returns the latest time for which a majority of the domains of
// the configuration has attested.
func (e *Evidence) majorityAt() time.Duration {
	domains := e.cfg.Domains()
	times := make([]time.Duration, 0, len(domains))
	for _, d := range domains {
		if at, ok := e.attested[d]; ok {
			times = append(times, at)
		}
	}
	need := Majority(len(domains))
	if len(domains) == 0 || len(times) < need {
		return none
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[need-1]
}

// Majority returns the smallest number of domains that is a majority of n.
func Majority(n int) int { return n/2 + 1 }

// FillHeartbeat sets the fields of a heartbeat that carry evidence: StoreAge and
// StoreSeen hold the age of the whole evidence, because a majority of
// attestations is worth the same as a store read. Ages holds the single
// attestations only while that evidence is older than half of the bound,
// when they can still add up to a majority at the receiver. Version and
// Withdrawn are read after the ages, so that they cover the evidence.
func (e *Evidence) FillHeartbeat(now time.Duration, b *core.Heartbeat) {
	age, seen := e.Age(now)
	b.EvidenceAge, b.EvidenceFresh, b.DomainAges = 0, false, nil
	if seen && age < e.cfg.FreshnessBound {
		b.EvidenceAge, b.EvidenceFresh = age, true
	}
	if !b.EvidenceFresh || age > e.cfg.FreshnessBound/2 {
		b.DomainAges = e.ages(now)
	}
	b.ConfigVersion, b.WithdrawalDigest = e.cfg.AppliedState()
}

func (e *Evidence) ages(now time.Duration) []core.EvidenceAge {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []core.EvidenceAge
	for _, d := range e.cfg.Domains() {
		if at, ok := e.attested[d]; ok && now-at < e.cfg.FreshnessBound {
			out = append(out, core.EvidenceAge{Domain: d, Age: max(0, now-at)})
		}
	}
	return out
}

// MergeHeartbeat takes over the evidence in the answer to a heartbeat that this host
// sent at the local time asked. It must not be used on a heartbeat that
// arrived unasked, whose time of sending is unknown. It reports false, and
// takes nothing over, if this host does not cover the sender's state; the
// caller then pulls what is missing and calls Merge again.
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
	e.raise(e.majorityAt())
	return true
}
