package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"azurering/core"
)

// capacWarm is the virtual time in which membership, seats and shares
// settle before anything is counted.
const capacWarm = 40 * time.Second

// SpreadResult is the measured dissemination of changes over one fleet.
type SpreadResult struct {
	Hosts, Domains int
	Changes        int
	Reached        int           // changes that every host got
	Median, Worst  time.Duration // until the last host had the change
	Messages       float64       // sent per host and change
	Bytes          float64       // sent per host and change
}

// Spread publishes changes one after the other at random hosts and measures
// how they spread.
func Spread(cfg FleetConfig, changes int) (SpreadResult, error) {
	r := SpreadResult{Hosts: cfg.Domains * cfg.PerDomain, Domains: cfg.Domains, Changes: changes}
	f, err := NewFleet(cfg)
	if err != nil {
		return r, err
	}
	f.Run(capacWarm)
	var took []time.Duration
	f.counting = true
	for i := range changes {
		f.Run(time.Duration(f.random.IntN(1000)) * time.Millisecond)
		started := f.timer.Now()
		version, err := f.publish(i)
		if err != nil {
			return r, err
		}
		f.Run(17 * time.Second)
		times := f.applied[version]
		if len(times) < r.Hosts {
			continue
		}
		r.Reached++
		took = append(took, slices.Max(times)-started)
	}
	slices.Sort(took)
	if len(took) > 0 {
		r.Median, r.Worst = took[len(took)/2], took[len(took)-1]
	}
	var sum capacTally
	for _, h := range f.hosts {
		sum = sum.plus(h.sent["config"])
	}
	r.Messages = float64(sum.Count) / float64(r.Hosts*changes)
	r.Bytes = float64(sum.Bytes) / float64(r.Hosts*changes)
	return r, nil
}

// publish publishes one change at a random host: of ten changes five grant a
// key, two begin and two end a drain, and one changes a rate.
func (f *Fleet) publish(i int) (uint64, error) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	ch := core.Change{Kind: core.ChangeGrant, Key: capacKey(i, f.sheet.Workspaces[i%len(f.sheet.Workspaces)].Name)}
	target := string(f.hosts[i%5].Name)
	switch i % 10 {
	case 1, 5:
		target = string(f.hosts[i%10].Name)
		ch = core.Change{Kind: core.ChangeDrain, Drain: core.Drain{Kind: core.DrainHost, Target: target, Mode: core.ModeDrain, Timeout: time.Minute}}
	case 3, 7:
		ch = core.Change{Kind: core.ChangeResume, Target: string(f.hosts[i%10-2].Name)}
	case 9:
		w := f.sheet.Workspaces[i%len(f.sheet.Workspaces)]
		w.Rate += int64(i) * 1000
		ch = core.Change{Kind: core.ChangeRate, Workspace: w}
	}
	result, err := h.log.PublishChange(context.Background(), ch, 0)
	h.flush()
	return result.Version, err
}

// SpreadTable renders results as Markdown.
func SpreadTable(results []SpreadResult) string {
	var b strings.Builder
	b.WriteString("| hosts | domains | changes | reached all | median to last host | worst to last host | messages per host and change | bytes per host and change |\n|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %d | %d | %d | %d | %d ms | %d ms | %.1f | %.0f |\n", r.Hosts, r.Domains, r.Changes, r.Reached,
			r.Median.Milliseconds(), r.Worst.Milliseconds(), r.Messages, r.Bytes)
	}
	return b.String()
}

// TrafficResult is the control traffic and the store load of one fleet.
type TrafficResult struct {
	Hosts, Domains, PerDomain int
	Servers                   int // per domain
	Changing                  bool
	Seconds                   float64
	// Sent and received messages and bytes of one host and second, per role
	// and family of messages.
	Sent, Received map[string]map[string]CapacRate
	// Reads and Writes per second of the whole fleet, per role and space.
	Reads, Writes map[string]map[core.Space]float64
	// Rows written per second of the whole fleet.
	Rows float64
	// Holders is the number of domains with an acting holder at the end.
	Holders int
	Fresh   int // hosts with fresh evidence at the end
	Behind  int // hosts that lack the newest version at the end
}

// CapacRate is a rate of messages.
type CapacRate struct{ Messages, Bytes float64 }

// Traffic measures the control traffic of a fleet over some seconds, idle or
// at the changes of the design size: 0.94 changes/s, of which every tenth is
// followed by a withdrawal.
func Traffic(cfg FleetConfig, seconds int, changing bool) (TrafficResult, error) {
	r := TrafficResult{
		Hosts: cfg.Domains * cfg.PerDomain, Domains: cfg.Domains, PerDomain: cfg.PerDomain, Servers: cfg.Servers,
		Changing: changing, Seconds: float64(seconds),
	}
	f, err := NewFleet(cfg)
	if err != nil {
		return r, err
	}
	f.Run(capacWarm)
	f.counting = true
	if !changing {
		f.Run(time.Duration(seconds) * time.Second)
		f.sum(&r)
		return r, nil
	}
	gap := 86400 * time.Second / 81000
	for i := 0; time.Duration(i)*gap < time.Duration(seconds)*time.Second; i++ {
		if _, err := f.publish(i); err != nil {
			return r, err
		}
		if i%10 == 9 {
			f.withdraw(i - 9)
		}
		f.Run(gap)
	}
	f.counting = false
	f.Run(5 * time.Second)
	f.sum(&r)
	return r, nil
}

// withdraw withdraws a granted key at a random host. An error says that the
// withdrawal is not accepted yet, which a loss of messages may cause.
func (f *Fleet) withdraw(key int) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	_, _ = h.keys.Withdraw(context.Background(), core.Withdrawal{Key: capacKey(key, "").Name})
	h.poke()
}

// role names the part that a host plays in its domain.
func (h *capacHost) role() string {
	if _, acting := h.seat.Acting(); acting {
		return "holder"
	}
	if h.seat.ShouldPoll() {
		return "reader"
	}
	return "host"
}

func (f *Fleet) sum(r *TrafficResult) {
	r.Sent, r.Received = make(map[string]map[string]CapacRate), make(map[string]map[string]CapacRate)
	r.Reads, r.Writes = make(map[string]map[core.Space]float64), make(map[string]map[core.Space]float64)
	numbers := make(map[string]float64)
	newest := uint64(0)
	for _, h := range f.hosts {
		numbers[h.role()]++
		newest = max(newest, h.log.Current().Version)
	}
	r.Holders = int(numbers["holder"])
	for _, h := range f.hosts {
		role := h.role()
		if h.ev.Fresh(f.timer.Now()) {
			r.Fresh++
		}
		if h.log.Current().Version < newest {
			r.Behind++
		}
		addRates(r.Sent, role, h.sent, r.Seconds*numbers[role])
		addRates(r.Received, role, h.received, r.Seconds*numbers[role])
		addCalls(r.Reads, role, h.reads, r.Seconds)
		addCalls(r.Writes, role, h.writes, r.Seconds)
		for _, t := range h.writes {
			r.Rows += float64(t.Bytes) / r.Seconds
		}
	}
}

func addRates(to map[string]map[string]CapacRate, role string, tallies map[string]capacTally, per float64) {
	if to[role] == nil {
		to[role] = make(map[string]CapacRate)
	}
	for family, t := range tallies {
		old := to[role][family]
		to[role][family] = CapacRate{Messages: old.Messages + float64(t.Count)/per, Bytes: old.Bytes + float64(t.Bytes)/per}
	}
}

func addCalls(to map[string]map[core.Space]float64, role string, tallies map[core.Space]capacTally, per float64) {
	if to[role] == nil {
		to[role] = make(map[core.Space]float64)
	}
	for space, t := range tallies {
		to[role][space] += float64(t.Count) / per
	}
}

var capacRoles = []string{"host", "reader", "holder"}

// TrafficTable renders the messages of each role as Markdown: messages and
// bytes sent per host and second, and the bytes received.
func TrafficTable(results []TrafficResult) string {
	families := []string{"beat", "config", "withdraw", "attest", "promise", "loan"}
	var b strings.Builder
	b.WriteString("| hosts | domains | per domain | servers per domain | changes | role |")
	for _, family := range families {
		b.WriteString(" " + family + " |")
	}
	b.WriteString(" sent, messages/s | sent, B/s | received, B/s |\n|--:|--:|--:|--:|--|--|" + strings.Repeat("--:|", len(families)+3) + "\n")
	for _, r := range results {
		for _, role := range capacRoles {
			trafficRow(&b, r, role, families)
		}
	}
	return b.String()
}

func trafficRow(b *strings.Builder, r TrafficResult, role string, families []string) {
	changes := "idle"
	if r.Changing {
		changes = "0.94/s"
	}
	fmt.Fprintf(b, "| %d | %d | %d | %d | %s | %s |", r.Hosts, r.Domains, r.PerDomain, r.Servers, changes, role)
	var sent, received CapacRate
	for _, family := range families {
		s, in := r.Sent[role][family], r.Received[role][family]
		fmt.Fprintf(b, " %.1f, %.0f B |", s.Messages, s.Bytes)
		sent = CapacRate{Messages: sent.Messages + s.Messages, Bytes: sent.Bytes + s.Bytes}
		received.Bytes += in.Bytes
	}
	fmt.Fprintf(b, " %.1f | %.0f | %.0f |\n", sent.Messages, sent.Bytes, received.Bytes)
}

// StoreTable renders the store load as Markdown: calls per second of the
// whole fleet.
func StoreTable(results []TrafficResult) string {
	spaces := []core.Space{core.SpaceConfig, core.SpaceSnapshot, core.SpaceWithdrawn, core.SpaceSeat, core.SpaceShare}
	var b strings.Builder
	b.WriteString("| hosts | domains | changes | role |")
	for _, s := range spaces {
		fmt.Fprintf(&b, " reads of %s | commits to %s |", s, s)
	}
	b.WriteString(" reads/s | commits/s | rows in commits/s, all roles |\n|--:|--:|--|--|" + strings.Repeat("--:|", 2*len(spaces)+3) + "\n")
	for _, r := range results {
		for _, role := range capacRoles {
			storeRow(&b, r, role, spaces)
		}
	}
	return b.String()
}

func storeRow(b *strings.Builder, r TrafficResult, role string, spaces []core.Space) {
	changes := "idle"
	if r.Changing {
		changes = "0.94/s"
	}
	fmt.Fprintf(b, "| %d | %d | %s | %s |", r.Hosts, r.Domains, changes, role)
	var reads, writes float64
	for _, s := range spaces {
		in, out := r.Reads[role][s], r.Writes[role][s]
		fmt.Fprintf(b, " %.2f | %.2f |", in, out)
		reads, writes = reads+in, writes+out
	}
	fmt.Fprintf(b, " %.2f | %.2f | %.2f |\n", reads, writes, r.Rows)
}
