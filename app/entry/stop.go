package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/member"
	"azurering/core/share"
	"azurering/io/setup"
)

// handOver bounds the return of loans and of the seat, which needs the
// platform or a peer.
const handOver = 5 * time.Second

// stopper shuts the host down step by step.
type stopper struct {
	settings setup.Settings
	timer    core.Timer
	group    *member.Group
	holder   *share.Holder
	state    *state
	servers  *listeners
	log      logrus.FieldLogger

	leaving atomic.Bool
	refuse  atomic.Bool
	skip    atomic.Bool // end at once, as a crash would
}

type stopperDeps struct {
	fx.In
	Settings setup.Settings
	Timer    core.Timer
	Group    *member.Group
	Holder   *share.Holder
	State    *state
	Log      logrus.FieldLogger
}

func newStopper(d stopperDeps) *stopper {
	return &stopper{settings: d.Settings, timer: d.Timer, group: d.Group, holder: d.Holder, state: d.State, log: d.Log}
}

// refusing reports whether new requests are refused.
func (s *stopper) refusing() bool { return s.refuse.Load() }

// run leaves the look-ups, waits until no caller can have a cached answer
// that names this host, refuses new requests, finishes those in flight, and
// hands over loans and seat. It ends early when the context does.
func (s *stopper) run(ctx context.Context) {
	if s.skip.Load() {
		return
	}
	started := s.timer.Now()
	ctx, cancel := context.WithTimeout(ctx, s.settings.Stop)
	defer cancel()
	s.leaving.Store(true)
	s.group.Leave(s.timer.Now())
	s.event("stop-leave", "host left the look-ups")
	wait(ctx, s.timer, s.settings.Lifetime)
	s.refuse.Store(true)
	// Shutdown waits for the requests in flight.
	if err := s.servers.caller.Shutdown(ctx); err != nil {
		s.log.WithField("event", "stop-cut").WithError(err).Warn("requests were still in flight at the end of the stop time")
	}
	over, cancelOver := context.WithTimeout(context.WithoutCancel(ctx), handOver)
	defer cancelOver()
	if err := s.holder.Return(over); err != nil {
		s.log.WithField("event", "stop-loans").WithError(err).Warn("loans were not returned; they lapse")
	}
	if err := s.state.Seat.Release(over); err != nil {
		s.log.WithField("event", "stop-seat").WithError(err).Warn("seat was not handed over; a candidate takes it")
	}
	s.log.WithFields(logrus.Fields{"event": "stopped", "seconds": (s.timer.Now() - started).Seconds()}).Info("entry host stopped")
}

func (s *stopper) event(name, text string) { s.log.WithField("event", name).Info(text) }

func wait(ctx context.Context, t core.Timer, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-t.After(d):
	}
}
