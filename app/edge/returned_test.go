package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/timer"
)

// returnWith answers the list's next call from a new era, and the listing that follows
// with the given servers.
func (l *serverList) returnWith(version core.Version, servers ...string) {
	l.t.Helper()
	l.next().reply <- storeReply{records: core.Records{Version: version}}
	rows := make([]core.Record, 0, len(servers))
	for _, s := range servers {
		r := entry(s, 1)
		r.Version.Era = version.Era
		rows = append(rows, r)
	}
	l.answer(l.next(), core.Records{Rows: rows, Version: version})
}

// Guards against requests to a server that has left, because the store has come back from
// a copy of before its removal, and against a live one that is not used again.
func TestRemovedServerIsNotUsedBecauseTheStoreReturnsWithIt(t *testing.T) {
	for _, left := range []bool{true, false} {
		l := startedList(t, timer.NewManual())
		l.answer(l.next(), core.Records{Rows: []core.Record{removal("i-1", 2)}, Version: core.Version{Number: 2}})
		require.False(t, l.uses())
		returned := core.Version{Era: 2, Number: 1}
		l.returnWith(returned, "i-1", "i-2")
		require.True(t, l.uses(), "i-2 is new")
		require.False(t, l.view.Servers()["i-1"])
		wait := expiryTime(core.HostSettings{})
		l.clock.Advance(wait - 300*time.Millisecond) // calls of the list take up to 200 ms
		l.state.useReturnedEntries()
		require.False(t, l.view.Servers()["i-1"])
		if left {
			r := removal("i-1", 2)
			r.Version.Era = 2
			l.answer(l.next(), core.Records{Rows: []core.Record{r}, Version: r.Version})
		}
		l.clock.Advance(wait)
		l.state.useReturnedEntries()
		require.Equal(t, !left, l.view.Servers()["i-1"])
	}
}

// Guards against servers that count as gone at once because the copy from which the store
// has come back is older than their entries: they need time to write them again.
func TestServerThatAReturnTookAwayIsHeld(t *testing.T) {
	l := startedList(t, timer.NewManual())
	l.returnWith(core.Version{Era: 2, Number: 1})
	began := l.clock.Now()
	require.InDelta(t, 2*time.Second, l.lastUse(4*time.Second)-began, float64(100*time.Millisecond))
}
