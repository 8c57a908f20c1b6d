package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"azurering/core"
)

// tasks runs background tasks, one goroutine each, from the start of the host
// to its stop. Log lines name a task in the field "duty".
type tasks struct {
	timer core.Timer
	log   logrus.FieldLogger

	mu     sync.Mutex
	runs   []func(context.Context)
	wg     sync.WaitGroup
	cancel context.CancelFunc
}

func newTasks(lc fx.Lifecycle, t core.Timer, log logrus.FieldLogger) *tasks {
	d := &tasks{timer: t, log: log}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

// add registers a task that runs until its context ends. It must be called
// before the start.
func (d *tasks) add(run func(context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, run)
}

// addPeriodic registers a task that calls runRound once per period. The outcome
// is logged when its error text changes: a repeated error is logged once, and
// so is the first success after an error.
func (d *tasks) addPeriodic(name string, period time.Duration, runRound func(context.Context) error) {
	d.add(func(ctx context.Context) {
		ticks := d.timer.NewTicker(name, period)
		defer ticks.Stop()
		lastError := ""
		for {
			err := runRound(ctx)
			if text := errorText(err); text != lastError && ctx.Err() == nil {
				lastError = text
				d.logChange(name, err)
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

func (d *tasks) logChange(name string, err error) {
	entry := d.log.WithFields(logrus.Fields{"event": "duty", "duty": name})
	if err != nil {
		entry.WithError(err).Warn("background task failed")
		return
	}
	entry.Info("background task recovered")
}

func (d *tasks) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, run := range d.runs {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			run(ctx)
		}()
	}
	return nil
}

func (d *tasks) stop(context.Context) error {
	d.cancel()
	d.wg.Wait()
	return nil
}
