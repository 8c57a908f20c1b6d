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
	// handOver bounds the return of loans and of the seat, which needs the
	// platform or a peer.
	handOver = 5 * time.Second
	// leaveSpread is how long other hosts may need to learn that this one
	// leaves: some heartbeats.
	leaveSpread = 3 * time.Second
	stopPeriod  = 200 * time.Millisecond
)

// stopper takes the host out of service, for a planned drain or stop and
// for the end of the process.
type stopper struct {
	settings setup.Settings
	timer    core.Timer
	group    *member.View
	holder   *share.Borrower
	state    *state
	log      logrus.FieldLogger
	end      fx.Shutdowner
	stop     *drain.Shutdown

	refuse   atomic.Bool
	inFlight atomic.Int64
	skip     atomic.Bool // end at once, as a crash would
	loans    background
	seat     background
	phase    atomic.Pointer[drain.ShutdownReport]
}

// background runs work once, beside the duty that waits for it.
type background struct {
	started atomic.Bool
	done    atomic.Bool
}

func (b *background) poll(work func(context.Context)) bool {
	if b.started.CompareAndSwap(false, true) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), handOver)
			defer cancel()
			work(ctx)
			b.done.Store(true)
		}()
	}
	return b.done.Load()
}

type stopperDeps struct {
	fx.In
	Settings setup.Settings
	Timer    core.Timer
	Group    *member.View
	Holder   *share.Borrower
	State    *state
	Log      logrus.FieldLogger
	Hub      *hub
	End      fx.Shutdowner
}

func newStopper(d stopperDeps) *stopper {
	s := &stopper{
		settings: d.Settings, timer: d.Timer, group: d.Group, holder: d.Holder, state: d.State, log: d.Log, end: d.End,
	}
	s.phase.Store(&drain.ShutdownReport{Phase: drain.StopServing})
	s.stop = drain.NewShutdown(drain.ShutdownConfig{
		LookupTTL: d.Settings.Lifetime, PropagationDelay: leaveSpread,
		Hooks: drain.Hooks{
			Announce:     func() { s.group.Leave(s.timer.Now()) },
			Rejoin:       func() { s.group.CancelLeave(s.timer.Now()) },
			SetRejecting: s.refuse.Store,
			InFlight:     s.inFlight.Load,
			ReturnLoans:  func() bool { return s.loans.poll(s.returnLoans) },
			HandOver:     func() bool { return s.seat.poll(s.handOver) },
			End:          s.ended,
		},
	})
	d.Hub.subscribe(s.apply)
	return s
}

// apply begins or takes back the drain of this host that a configuration
// holds.
func (s *stopper) apply(c config.State) {
	now := s.timer.Now()
	for _, d := range c.Sheet.Drains {
		if d.Kind == core.DrainHost && core.HostID(d.Target) == s.settings.Host {
			s.stop.Begin(now, d)
			return
		}
	}
	if err := s.stop.Resume(now); err != nil {
		s.log.WithField("event", "resume").WithError(err).Warn("host cannot resume; restart it")
	}
}

// refusing reports whether new requests are refused.
func (s *stopper) refusing() bool { return s.refuse.Load() }

// count wraps a handler so that its requests in flight are counted.
func (s *stopper) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (s *stopper) returnLoans(ctx context.Context) {
	if err := s.holder.Release(ctx); err != nil {
		s.log.WithField("event", "stop-loans").WithError(err).Warn("loans were not returned; they lapse")
	}
}

func (s *stopper) handOver(ctx context.Context) {
	if err := s.state.release(ctx); err != nil {
		s.log.WithField("event", "stop-seat").WithError(err).Warn("seat was not handed over; a candidate takes it")
	}
}

// ended ends the process after a planned stop. At the end of the process
// itself the shutdown is under way already and the call does nothing.
func (s *stopper) ended() { _ = s.end.Shutdown() }

// tick does what is due and logs each phase once.
func (s *stopper) tick() drain.ShutdownReport {
	r := s.stop.Tick(s.timer.Now())
	if last := s.phase.Swap(&r); last.Phase != r.Phase {
		s.log.WithFields(logrus.Fields{"event": "stop", "phase": r.Phase, "inflight": r.InFlight}).Info("host is taken out of service")
	}
	return r
}

// run stops the host at the end of the process: it leaves the look-ups,
// waits until no caller can have a cached answer that names this host,
// refuses new requests, finishes those in flight, and hands over loans and
// seat. It ends early when the context or the stop setting does; then the
// requests that are left are cut.
func (s *stopper) run(ctx context.Context) {
	if s.skip.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Stop)
	defer cancel()
	s.stop.Begin(s.timer.Now(), core.Drain{Kind: core.DrainHost, Target: string(s.settings.Host), Mode: core.ModeStop})
	for {
		r := s.tick()
		if r.Phase == drain.StopEnded {
			s.log.WithField("event", "stopped").Info("entry host stopped")
			return
		}
		select {
		case <-ctx.Done():
			s.log.WithFields(logrus.Fields{"event": "stop-cut", "phase": r.Phase, "inflight": r.InFlight}).Warn("stop time is over; what is left is cut")
			return
		case <-s.timer.After(stopPeriod):
		}
	}
}

func runStopper(d *duties, s *stopper) {
	d.every("stop", stopPeriod, func(context.Context) error {
		s.tick()
		return nil
	})
}
