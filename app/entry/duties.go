package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"azurering/core"
)

// duties runs one goroutine per duty from the start of the host to its stop.
type duties struct {
	timer core.Timer
	log   logrus.FieldLogger

	mu     sync.Mutex
	list   []func(context.Context)
	all    sync.WaitGroup
	cancel context.CancelFunc
}

func newDuties(lc fx.Lifecycle, t core.Timer, log logrus.FieldLogger) *duties {
	d := &duties{timer: t, log: log}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

// add registers a duty before the start. It runs until its context ends.
func (d *duties) add(run func(context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, run)
}

// every registers a duty that does one round of work per period. A failed
// round is logged once per kind of error in a row.
func (d *duties) every(name string, period time.Duration, work func(context.Context) error) {
	d.add(func(ctx context.Context) {
		ticks := d.timer.NewTicker(name, period)
		defer ticks.Stop()
		last := ""
		for {
			err := work(ctx)
			if text := errorText(err); text != last && ctx.Err() == nil {
				last = text
				d.report(name, err)
			}
			select {
			case <-ctx.Done():
				return
			case <-ticks.C():
			}
		}
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (d *duties) report(name string, err error) {
	entry := d.log.WithFields(logrus.Fields{"event": "duty", "duty": name})
	if err != nil {
		entry.WithError(err).Warn("duty failed")
		return
	}
	entry.Info("duty works again")
}

func (d *duties) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, run := range d.list {
		d.all.Add(1)
		go func() {
			defer d.all.Done()
			run(ctx)
		}()
	}
	return nil
}

func (d *duties) stop(context.Context) error {
	d.cancel()
	d.all.Wait()
	return nil
}
