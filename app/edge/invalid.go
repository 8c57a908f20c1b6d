package edge

import (
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/metric"
)

const (
	// invalidLogInterval is the minimum time between two log lines about the same
	// entry. Its writer may write it every second.
	invalidLogInterval = 10 * time.Second
	// maxInvalidKept bounds the entries whose log lines are remembered.
	maxInvalidKept = 4096
)

// invalidEntries counts and logs entries of the store's tables that cannot be used.
// Only one goroutine a table uses one.
type invalidEntries struct {
	timer   core.Timer
	metrics *metric.Metrics
	table   core.FeedTable
	logged  map[string]loggedEntry
}

type loggedEntry struct {
	reason string
	at     time.Duration
}

func newInvalidEntries(t core.Timer, m *metric.Metrics, table core.FeedTable) *invalidEntries {
	return &invalidEntries{timer: t, metrics: m, table: table, logged: make(map[string]loggedEntry)}
}

// report counts an entry, and logs it unless it was logged for the same reason, or a
// short time ago.
func (v *invalidEntries) report(log logrus.FieldLogger, key string, err error, text string) {
	v.metrics.CountInvalidEntry(v.table)
	now := v.timer.Now()
	last, known := v.logged[key]
	if known && (last.reason == err.Error() || now < last.at+invalidLogInterval) {
		return
	}
	if len(v.logged) >= maxInvalidKept {
		clear(v.logged)
	}
	v.logged[key] = loggedEntry{reason: err.Error(), at: now}
	log.WithError(err).Warn(text)
}

// recovered returns what a function returns, or an error if it panics: an entry on which
// this process ended would end it again after each restart.
func recovered(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = codes.New(codes.Internal, "edge: handling an entry panicked: %v; %s", p, debug.Stack())
		}
	}()
	return f()
}
