// Package keys checks the API keys of callers and keeps the set of withdrawn
// keys. It forwards withdrawals between hosts, writes them to a log in the
// table, and reports when a withdrawal is accepted, which means that no host
// will admit the key after a bounded time.
//
// Entry hosts use it for each request and for the withdrawals of operators.
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

// Seat is the part of seats.Seat that this package uses. It must be safe for
// concurrent use.
type Seat interface {
	// Acting returns the epoch of the own seat and whether this host may act as
	// its holder.
	Acting() (uint64, bool)
	// FindHolder returns the acting seat holder of a domain.
	FindHolder(ctx context.Context, d core.DomainID) (core.HostID, error)
	// ShouldPoll reports whether this host should poll the table.
	ShouldPoll() bool
}

// Config configures a Keys. CallTimeout and MaxConcurrentCalls are
// optional.
type Config struct {
	Host     core.Host // the own host
	Table    core.Table
	Peers    core.Peers
	Timer    core.Timer
	Seat     Seat
	Evidence *seats.Evidence
	// Domains returns the failure domains of the active configuration.
	Domains func() []core.DomainID
	// Neighbours returns the hosts to which new withdrawals are forwarded.
	Neighbours func() []core.HostID
	// CallTimeout bounds each call to the table; calls to peers get half of
	// it. Zero means a quarter of the freshness bound.
	CallTimeout time.Duration
	// MaxConcurrentCalls is the maximum number of concurrent calls to peers. Zero means 64;
	// with 1 all calls run in the goroutine that makes them.
	MaxConcurrentCalls int
}

// Keys holds the keys of the configuration and the set of withdrawn keys. Tick
// must be called from one goroutine; all other methods are safe for concurrent
// use.
type Keys struct {
	cfg   Config
	index atomic.Pointer[index]
	// digest is the digest of withdrawn; see Digest.
	digest atomic.Uint64
	wake   chan struct{}

	mu        sync.Mutex
	withdrawn map[core.KeyID]core.Withdrawal
	unstored  map[core.KeyID]bool // withdrawals not known to be in the log
	logged    []core.KeyID        // keys of rows 1, 2, … of the table's log
	// coveredDigests holds digests of sets that the own set contains: the latest
	// maxCoveredDigests of them, in the order of coveredOrder.
	coveredDigests map[uint64]bool
	coveredOrder   []uint64
	watches        map[core.KeyID]*Watch
	toForward      []core.Withdrawal // new withdrawals for the neighbours
	pullFrom       []core.HostID     // hosts that have withdrawals which this host lacks
	nextWriteAt    time.Duration     // local time of the next write of unstored, or zero
	writePause     time.Duration     // pause after the next failed write

	nextPollAt time.Duration // next poll; used only by the goroutine that calls Tick
}

// New returns a Keys without keys and registers the handlers of withdraw-push
// and withdraw-pull with cfg.Peers. It returns a SettingsInvalid error if a
// required field of cfg is missing.
func New(cfg Config) (*Keys, error) {
	if cfg.Host.Name == "" || cfg.Host.Domain == "" {
		return nil, codes.New(codes.SettingsInvalid, "keys: Config.Host needs a name and a domain")
	}
	if cfg.Table == nil || cfg.Peers == nil || cfg.Timer == nil || cfg.Seat == nil || cfg.Evidence == nil {
		return nil, codes.New(codes.SettingsInvalid, "keys: Config needs Table, Peers, Timer, Seat and Evidence")
	}
	if cfg.Domains == nil || cfg.Neighbours == nil {
		return nil, codes.New(codes.SettingsInvalid, "keys: Config needs the functions Domains and Neighbours")
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = cfg.Evidence.Bound() / 4
	}
	if cfg.MaxConcurrentCalls == 0 {
		cfg.MaxConcurrentCalls = 64
	}
	k := &Keys{
		cfg:            cfg,
		wake:           make(chan struct{}, 1),
		withdrawn:      make(map[core.KeyID]core.Withdrawal),
		unstored:       make(map[core.KeyID]bool),
		coveredDigests: make(map[uint64]bool),
		watches:        make(map[core.KeyID]*Watch),
	}
	k.index.Store(newIndex())
	cfg.Peers.Handle(core.KindWithdrawPush, k.handlePush)
	cfg.Peers.Handle(core.KindWithdrawPull, k.handlePull)
	return k, nil
}

// Wake returns a channel that receives a value when Tick should run at
// once: there are withdrawals to forward or to write, or a peer to pull from.
func (k *Keys) Wake() <-chan struct{} { return k.wake }

func (k *Keys) signalWake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keys) call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout/2)
	defer cancel()
	return k.cfg.Peers.Call(ctx, to, m)
}
