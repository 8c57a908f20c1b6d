// Package keys checks callers' keys and keeps the set of withdrawn keys: it
// spreads withdrawals between hosts, writes them to the table, and tells
// operators when a withdrawal is accepted.
package keys

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/seats"
)

// Seat is the part of seats.Seat that this package uses.
type Seat interface {
	// Acting returns the epoch of the own seat and whether this host acts.
	Acting() (uint64, bool)
	// FindHolder returns the acting seat holder of a domain.
	FindHolder(ctx context.Context, d core.DomainID) (core.HostID, error)
	// ShouldPoll reports whether this host polls the table.
	ShouldPoll() bool
}

// Config configures a Keys. All fields but CallTimeout and Parallel are
// required.
type Config struct {
	Host     core.Host // the own host
	Table    core.Table
	Peers    core.Peers
	Timer    core.Timer
	Seat     Seat
	Evidence *seats.Evidence
	// Domains returns the failure domains of the configuration in force.
	Domains func() []core.DomainID
	// Neighbours returns the hosts to which news is forwarded.
	Neighbours func() []core.HostID
	// CallTimeout bounds each call to the table; calls to peers get half of
	// it. Zero means a quarter of the freshness bound.
	CallTimeout time.Duration
	// MaxConcurrentCalls is the number of peer calls under way at once. Zero means 64;
	// with 1 all calls run in the goroutine that makes them.
	MaxConcurrentCalls int
}

// Keys holds the keys of the configuration and the withdrawal set. Tick is
// called from one goroutine; the other methods are safe for concurrent use.
type Keys struct {
	cfg     Config
	index   atomic.Pointer[index]
	digest  atomic.Uint64
	changed chan struct{}

	mu    sync.Mutex
	set   map[core.KeyID]core.Withdrawal
	loose map[core.KeyID]bool // not known to be in the log
	log   []core.KeyID        // rows 1, 2, … of the table's log
	// covered holds digests of sets that the own set contains, the newest
	// coverSize of them in order of recent.
	covered map[uint64]bool
	recent  []uint64
	watched map[core.KeyID]*Watch
	news    []core.Withdrawal // to forward
	behind  []core.HostID     // hosts to pull from
	writeAt time.Duration     // next try to write loose withdrawals
	retry   time.Duration     // pause after the next failed try

	pollAt time.Duration // next poll; belongs to the goroutine of Tick
}

// New returns a Keys without keys and sets the handlers of withdraw-push and
// withdraw-pull. Its error carries SettingsInvalid.
func New(cfg Config) (*Keys, error) {
	if cfg.Host.Name == "" || cfg.Host.Domain == "" {
		return nil, codes.New(codes.SettingsInvalid, "keys: own host lacks a name or a domain")
	}
	if cfg.Table == nil || cfg.Peers == nil || cfg.Timer == nil || cfg.Seat == nil || cfg.Evidence == nil {
		return nil, codes.New(codes.SettingsInvalid, "keys: table, peers, timer, seat and evidence are required")
	}
	if cfg.Domains == nil || cfg.Neighbours == nil {
		return nil, codes.New(codes.SettingsInvalid, "keys: functions Domains and Neighbours are required")
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = cfg.Evidence.Bound() / 4
	}
	if cfg.MaxConcurrentCalls == 0 {
		cfg.MaxConcurrentCalls = 64
	}
	k := &Keys{
		cfg:     cfg,
		changed: make(chan struct{}, 1),
		set:     make(map[core.KeyID]core.Withdrawal),
		loose:   make(map[core.KeyID]bool),
		covered: make(map[uint64]bool),
		watched: make(map[core.KeyID]*Watch),
	}
	k.index.Store(newIndex())
	cfg.Peers.Handle(core.KindWithdrawPush, k.onPush)
	cfg.Peers.Handle(core.KindWithdrawPull, k.onPull)
	return k, nil
}

// Wake returns a channel that gets a value when there is news to forward.
// The caller of Tick calls it then instead of waiting for the next tick.
func (k *Keys) Wake() <-chan struct{} { return k.changed }

func (k *Keys) signal() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *Keys) call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout/2)
	defer cancel()
	return k.cfg.Peers.Call(ctx, to, m)
}
