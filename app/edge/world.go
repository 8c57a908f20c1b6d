package edge

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/mirror"
	"azurering/core/picker"
	"azurering/core/quota"
	"azurering/core/routes"
	"azurering/io/metric"
)

// longPollWait is how long one call waits for changes of a table. A dead connection
// to the store is noticed earlier, by the age of the copy.
const longPollWait = 3 * time.Second

// RowDecoders decodes the rows that the platform writes. All fields are required.
type RowDecoders struct {
	// Rules decodes the configuration.
	Rules func(raw []byte) (core.RoutingConfig, error)
	// IsRules reports whether the row of the operators' table with this key
	// holds the configuration.
	IsRules func(key string) bool
	// EvacuatedDomain returns the failure domain that a row asks to evacuate, and
	// false for other rows.
	EvacuatedDomain func(key string) (core.DomainID, bool)
	// Instance decodes the entry of a backend server. It fails for an entry
	// that names no usable server.
	Instance func(id string, raw []byte) (core.Instance, error)
}

// clusterState is this host's copy of the configuration and of the list of
// servers, kept up to date from the store and from other hosts.
type clusterState struct {
	cfg     Config
	log     logrus.FieldLogger
	limiter *quota.Limiter
	view    *picker.Picker
	mirrors map[core.FeedTable]*mirror.Mirror
	table   atomic.Pointer[routes.Table]
	changed chan struct{} // a table has changed; wakes the next heartbeat
	// confirmed wakes runNews after a read of the store.
	confirmed chan struct{}
	leaves    chan struct{} // a server has said that it leaves; wakes runNews
	invalid   map[core.FeedTable]*invalidEntries

	evacuations *evacuations
	returned    *returnedEntries
}

func newClusterState(
	cfg Config, t core.Timer, feed core.Feed, limiter *quota.Limiter, members *gossip.Members, j *joining, m *metric.Metrics,
) *clusterState {
	w := &clusterState{cfg: cfg, log: cfg.Log, limiter: limiter, changed: make(chan struct{}, 1), confirmed: make(chan struct{}, 1), leaves: make(chan struct{}, 1)}
	w.evacuations = newEvacuations(t, func(domains map[core.DomainID]bool) { w.view.SetEvacuated(domains) })
	w.returned = newReturnedEntries(t, expiryTime(cfg.Place))
	w.invalid = map[core.FeedTable]*invalidEntries{
		core.FeedOperator: newInvalidEntries(t, m, core.FeedOperator), core.FeedServers: newInvalidEntries(t, m, core.FeedServers),
	}
	w.mirrors = map[core.FeedTable]*mirror.Mirror{
		core.FeedOperator: w.newMirror(members, mirror.Config{
			Table: core.FeedOperator, Feed: feed, Timer: t, Holds: mirror.HoldLimits{Return: operatorRewriteTime(cfg.Place)}, OnChange: w.operatorChanged,
			Keeps: w.keepsRules, AwaitsCopy: j.awaitsCopy,
		}),
		core.FeedServers: w.newMirror(members, mirror.Config{
			Table: core.FeedServers, Feed: feed, Timer: t, Holds: holdLimits(cfg.Place), OnChange: w.serversChanged,
		}),
	}
	return w
}

// newMirror adds to a configuration what the mirrors of all tables have in common.
func (w *clusterState) newMirror(members *gossip.Members, c mirror.Config) *mirror.Mirror {
	c.PollTimeout = longPollWait
	c.FollowsStore, c.Confirms, c.ListsFirst = members.FollowsStore, members.Confirms, members.ListsFirst
	c.OnConfirm = func() { wake(w.confirmed) }
	table, changed := c.Table, c.OnChange
	c.OnChange = func(c mirror.Change) {
		if !c.Replaced.IsZero() {
			w.logReturn(table, c)
		}
		changed(c)
		if !members.FollowsStore() {
			return // other hosts learned of it no later than this one
		}
		wake(w.changed) // a heartbeat that is pending includes this change
	}
	c.OnStoreState = func(err error) {
		log := w.log.WithFields(logrus.Fields{"event": "store", "table": table})
		if err != nil {
			log.WithError(err).Warn("edge: store cannot be reached; the known configuration and servers stay in use")
			return
		}
		log.Info("edge: store can be reached again")
	}
	return mirror.New(c)
}

// run follows both tables until the context ends.
func (w *clusterState) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range w.mirrors {
		group.Go(func() { m.Run(ctx) })
	}
	group.Wait()
}

// isReady reports whether the host has a configuration and knows of at
// least one change of the servers' table.
func (w *clusterState) isReady() bool {
	_, servers := w.mirrors[core.FeedServers].Versions()
	return w.table.Load() != nil && !servers.IsZero()
}

func (w *clusterState) service(name core.ServiceID) *core.ServiceConfig {
	if t := w.table.Load(); t != nil {
		return t.Service(name)
	}
	return nil
}

// hasLargeAnswer reports whether the route of a call is for downloads.
func (w *clusterState) hasLargeAnswer(c *core.Call) bool {
	t := w.table.Load()
	if t == nil {
		return false
	}
	rule := t.Match(c.Host, c.Path)
	return rule != nil && rule.Class == core.ClassDownload
}

func (w *clusterState) limits() core.Limits {
	if t := w.table.Load(); t != nil {
		return t.Limits
	}
	return core.Limits{}
}

func (w *clusterState) operatorChanged(c mirror.Change) {
	if c.First && c.Version.Era > 0 {
		w.log.WithFields(logrus.Fields{"event": "join", "version": c.Version, "source": sourceName(c), "held": len(c.Holds)}).
			Info("edge: first copy of the operators' table")
	}
	for _, r := range c.Rows {
		if w.cfg.Decode.IsRules(r.Key) {
			if err := recovered(func() error { return w.applyRules(r, sourceName(c)) }); err != nil {
				log := w.log.WithFields(logrus.Fields{"event": "rules", "row": r.Version, "source": sourceName(c)})
				w.invalid[core.FeedOperator].report(log, r.Key, err, "edge: new configuration is invalid; the last one stays in force")
			}
			continue
		}
		domain, ok := w.cfg.Decode.EvacuatedDomain(r.Key)
		if !ok {
			continue
		}
		hold := c.Holds[r.Key]
		w.log.WithFields(logrus.Fields{"event": "evacuate", "domain": domain, "over": r.Removed, "hold": hold.Milliseconds(), "version": r.Version, "source": sourceName(c)}).Info("edge: evacuation changed")
		if c.First && hold > 0 {
			w.evacuations.set(domain, true, 0) // the host whose copy this is has it in force
		}
		w.evacuations.set(domain, !r.Removed, hold)
	}
	w.evacuations.publish()
}

// keepsRules reports whether a known configuration stays although the store has come back
// with an earlier one, with one that cannot be read, or with none.
func (w *clusterState) keepsRules(known, read core.Record) bool {
	if !w.cfg.Decode.IsRules(known.Key) {
		return false
	}
	before, err := w.decodeRules(known.Value)
	if err != nil {
		return false
	}
	after, err := w.decodeRules(read.Value)
	if !read.Removed && err == nil && after.Version >= before.Version {
		return false
	}
	w.log.WithFields(logrus.Fields{"event": "rules", "row": read.Version, "version": after.Version, "inforce": before.Version, "removed": read.Removed}).
		Info("edge: store came back with an older configuration; the known one stays in the copy that other hosts get")
	return true
}

// decodeRules decodes a configuration. A panic of the decoder is an error.
func (w *clusterState) decodeRules(raw []byte) (rules core.RoutingConfig, err error) {
	err = recovered(func() (err error) {
		rules, err = w.cfg.Decode.Rules(raw)
		return err
	})
	return rules, err
}

// endHeldEvacuations ends the evacuations that the operator has not requested again in
// time after the store came back without them.
func (w *clusterState) endHeldEvacuations() {
	over := w.evacuations.expire()
	for _, domain := range over {
		w.log.WithFields(logrus.Fields{"event": "evacuate", "domain": domain, "over": true}).Info("edge: evacuation that the store has lost was not requested again; it is over")
	}
	if len(over) > 0 {
		w.evacuations.publish()
	}
}

// logReturn logs that the copy of a table was replaced by the table of a new era of the
// store, and what that changed.
func (w *clusterState) logReturn(table core.FeedTable, c mirror.Change) {
	removed := 0
	for _, r := range c.Rows {
		if r.Removed {
			removed++
		}
	}
	w.log.WithFields(logrus.Fields{
		"event": "era", "table": table, "era": c.Version.Era, "version": c.Version, "before": c.Replaced, "source": sourceName(c),
		"changed": len(c.Rows) - removed, "removed": removed, "held": len(c.Holds),
	}).Info("edge: table adopted from a new era of the store; newer configurations, evacuations and entries stay in force until they are written again")
}

// sourceName returns where a change was read, for logs: "store", or the address
// of the host whose copy had it.
func sourceName(c mirror.Change) string {
	if c.Source == "" {
		return "store"
	}
	return c.Source
}

// applyRules puts a version of the configuration in force. A version that is
// not newer than the one in force is ignored.
func (w *clusterState) applyRules(r core.Record, source string) error {
	log := w.log.WithFields(logrus.Fields{"event": "rules", "row": r.Version, "source": source})
	if r.Removed {
		log.Warn("edge: configuration was removed; the last one stays in force")
		return nil
	}
	rules, err := w.cfg.Decode.Rules(r.Value)
	if err != nil {
		return err
	}
	if old := w.table.Load(); old != nil && rules.Version <= old.Version {
		log.WithFields(logrus.Fields{"version": rules.Version, "inforce": old.Version}).Info("edge: older configuration ignored")
		return nil
	}
	for n, err := range rules.Invalid {
		w.invalid[core.FeedOperator].report(log, strconv.Itoa(n), err, "edge: a part of the configuration cannot be used; its requests are refused, the rest is in force")
	}
	table := routes.Compile(rules)
	w.limiter.SetWorkspaces(table.Workspaces())
	w.table.Store(table)
	log.WithFields(logrus.Fields{"version": rules.Version, "routes": len(rules.Routes)}).Info("edge: configuration in force")
	return nil
}

func (w *clusterState) serversChanged(c mirror.Change) {
	for _, r := range c.Rows {
		w.returned.remove(r.Key)
		if r.Removed {
			hold := c.Holds[r.Key]
			w.view.Remove(core.ServerID(r.Key), hold)
			w.serverLog(r, sourceName(c)).WithField("hold", hold.Milliseconds()).Info("edge: entry of a server was removed")
			continue
		}
		w.updateServer(r, sourceName(c), !c.Replaced.IsZero())
	}
}

func (w *clusterState) serverLog(r core.Record, source string) logrus.FieldLogger {
	return w.log.WithFields(logrus.Fields{"event": "server", "server": r.Key, "version": r.Version, "source": source})
}

// updateServer takes over the entry of a server. If the store has returned from an older
// copy with it, an entry that had been removed before waits until it is confirmed.
func (w *clusterState) updateServer(r core.Record, source string, returned bool) {
	log := w.serverLog(r, source)
	var i core.Instance
	result := picker.EntryUnchanged
	waits := false
	err := recovered(func() (err error) {
		if i, err = w.cfg.Decode.Instance(r.Key, r.Value); err != nil {
			return err
		}
		if waits = returned && w.view.WasRemoved(i); !waits {
			result = w.view.Update(i)
		}
		return nil
	})
	if err != nil {
		w.view.Remove(core.ServerID(r.Key), 0)
		w.invalid[core.FeedServers].report(log, r.Key, err, "edge: entry of a server is not usable; the server gets no requests")
		return
	}
	log = log.WithFields(logrus.Fields{"state": i.State, "address": i.Address, "cold": i.ColdLeft, "born": i.StartedMs})
	switch {
	case waits:
		w.returned.add(r, source)
		log.Info("edge: store has come back with the entry of a server that was removed; the server gets no requests until its entry has outlasted the time in which the store removes it again")
	case result == picker.EntryChanged:
		log.Info("edge: entry of a server changed")
	case result == picker.EntryOlder:
		log.WithField("sequence", i.Sequence).Warn("edge: entry of a server is older than the known one and is ignored")
	}
}

// useReturnedEntries takes over the entries of servers that were removed before a return
// of the store, and that the store still has although dead servers' entries have expired.
func (w *clusterState) useReturnedEntries() {
	w.returned.takeConfirmed(func(e returnedEntry) { w.updateServer(e.record, e.source, false) })
}
