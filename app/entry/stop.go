package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/config"
	"azurering/core/drain"
	"azurering/core/member"
	"azurering/core/share"
	"azurering/io/setup"
)

const (
	// handOverTimeout bounds the return of loans, and also that of the seat.
	// Both need the platform or a peer.
	handOverTimeout = 5 * time.Second
	// leavePropagation is how long other hosts may need to learn that this one
	// leaves: a few heartbeats.
	leavePropagation = 3 * time.Second
	stopPeriod       = 200 * time.Millisecond
)

// stopper takes the host out of service, for a planned drain or stop as well as
// at the end of the process.
type stopper struct {
	settings   setup.Settings
	timer      core.Timer
	view       *member.View
	borrower   *share.Borrower
	state      *state
	log        logrus.FieldLogger
	shutdowner fx.Shutdowner
	shutdown   *drain.Shutdown

	refuseNew    atomic.Bool
	inFlight     atomic.Int64
	killed       atomic.Bool // end without a graceful stop
	loanReturn   backgroundCall
	seatHandOver backgroundCall
	lastReport   atomic.Pointer[drain.ShutdownReport]
}

// backgroundCall runs a function once in its own goroutine, so that the task
// that waits for it is not blocked.
type backgroundCall struct {
	started atomic.Bool
	done    atomic.Bool
}

func (b *backgroundCall) startOnce(work func(context.Context)) bool {
	if b.started.CompareAndSwap(false, true) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
			defer cancel()
			work(ctx)
			b.done.Store(true)
		}()
	}
	return b.done.Load()
}

type stopperDeps struct {
	fx.In
	Settings   setup.Settings
	Timer      core.Timer
	Group      *member.View
	Holder     *share.Borrower
	State      *state
	Log        logrus.FieldLogger
	Hub        *hub
	Shutdowner fx.Shutdowner
}

func newStopper(d stopperDeps) *stopper {
	s := &stopper{
		settings: d.Settings, timer: d.Timer, view: d.Group, borrower: d.Holder, state: d.State, log: d.Log, shutdowner: d.Shutdowner,
	}
	s.lastReport.Store(&drain.ShutdownReport{Phase: drain.StopServing})
	s.shutdown = drain.NewShutdown(drain.ShutdownConfig{
		LookupTTL: d.Settings.Lifetime, PropagationDelay: leavePropagation,
		Hooks: drain.Hooks{
			Announce:     func() { s.view.Leave(s.timer.Now()) },
			Rejoin:       func() { s.view.CancelLeave(s.timer.Now()) },
			SetRejecting: s.refuseNew.Store,
			InFlight:     s.inFlight.Load,
			ReturnLoans:  func() bool { return s.loanReturn.startOnce(s.returnLoans) },
			HandOver:     func() bool { return s.seatHandOver.startOnce(s.handOver) },
			End:          s.endProcess,
		},
	})
	d.Hub.subscribe(s.apply)
	return s
}

// apply begins the drain of this host if the configuration contains one, and
// otherwise takes an earlier drain back.
func (s *stopper) apply(c config.State) {
	now := s.timer.Now()
	for _, d := range c.Sheet.Drains {
		if d.Kind == core.DrainHost && core.HostID(d.Target) == s.settings.Host {
			s.shutdown.Begin(now, d)
			return
		}
	}
	if err := s.shutdown.Resume(now); err != nil {
		s.log.WithField("event", "resume").WithError(err).Warn("host cannot resume after it began to return loans; restart it")
	}
}

// refusing reports whether new requests are refused.
func (s *stopper) refusing() bool { return s.refuseNew.Load() }

// countInFlight wraps a handler to count its requests in flight.
func (s *stopper) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (s *stopper) returnLoans(ctx context.Context) {
	if err := s.borrower.Release(ctx); err != nil {
		s.log.WithField("event", "stop-loans").WithError(err).Warn("loans were not returned; they expire by themselves")
	}
}

func (s *stopper) handOver(ctx context.Context) {
	if err := s.state.release(ctx); err != nil {
		s.log.WithField("event", "stop-seat").WithError(err).Warn("seat was not handed over; a candidate takes it over")
	}
}

// endProcess starts the shutdown of the process after a planned stop. It has no
// effect if the process is already shutting down.
func (s *stopper) endProcess() { _ = s.shutdowner.Shutdown() }

// tick does the work of the stop that is due, and logs each new phase.
func (s *stopper) tick() drain.ShutdownReport {
	r := s.shutdown.Tick(s.timer.Now())
	if previous := s.lastReport.Swap(&r); previous.Phase != r.Phase {
		s.log.WithFields(logrus.Fields{"event": "stop", "phase": r.Phase, "inflight": r.InFlight}).Info("host entered a new stop phase")
	}
	return r
}

// runStop stops the host gracefully at the end of the process: the host is
// removed from look-up answers, waits until no cached answer of a caller names
// it, refuses new requests, finishes those in flight, and hands over its loans
// and its seat. If the context ends or the stop setting passes before that, the
// requests that are left are cut.
func (s *stopper) runStop(ctx context.Context) {
	if s.killed.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Stop)
	defer cancel()
	s.shutdown.Begin(s.timer.Now(), core.Drain{Kind: core.DrainHost, Target: string(s.settings.Host), Mode: core.ModeStop})
	for {
		r := s.tick()
		if r.Phase == drain.StopEnded {
			s.log.WithField("event", "stopped").Info("entry host stopped")
			return
		}
		select {
		case <-ctx.Done():
			s.log.WithFields(logrus.Fields{"event": "stop-cut", "phase": r.Phase, "inflight": r.InFlight}).Warn("stop time is over; the requests in flight are cut")
			return
		case <-s.timer.After(stopPeriod):
		}
	}
}

func runStopper(d *tasks, s *stopper) {
	d.addPeriodic("stop", stopPeriod, func(context.Context) error {
		s.tick()
		return nil
	})
}
