package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"azurering/core"
)

// warmUpTime is the virtual time for which a fleet runs before anything is
// counted, so that membership, seats and shares have settled.
const warmUpTime = 40 * time.Second

// SpreadResult is the measured dissemination of changes in one fleet.
type SpreadResult struct {
	Hosts, Domains int
	Changes        int
	Reached        int           // changes that every host applied
	Median, Worst  time.Duration // time until the last host applied a change
	Messages       float64       // configuration messages sent per host and change
	Bytes          float64       // bytes of these messages, per host and change
}

// Spread publishes changes at random hosts, one after the other, and measures
// how long they take to reach all hosts. A change has 17 seconds for this.
func Spread(cfg FleetConfig, changes int) (SpreadResult, error) {
	r := SpreadResult{Hosts: cfg.Domains * cfg.PerDomain, Domains: cfg.Domains, Changes: changes}
	f, err := NewFleet(cfg)
	if err != nil {
		return r, err
	}
	f.Run(warmUpTime)
	var durations []time.Duration
	f.counting = true
	for i := range changes {
		f.Run(time.Duration(f.random.IntN(1000)) * time.Millisecond)
		started := f.timer.Now()
		version, err := f.publishChange(i)
		if err != nil {
			return r, err
		}
		f.Run(17 * time.Second)
		times := f.appliedAt[version]
		if len(times) < r.Hosts {
			continue
		}
		r.Reached++
		durations = append(durations, slices.Max(times)-started)
	}
	slices.Sort(durations)
	if len(durations) > 0 {
		r.Median, r.Worst = durations[len(durations)/2], durations[len(durations)-1]
	}
	var total tally
	for _, h := range f.hosts {
		total = total.plus(h.sent["config"])
	}
	r.Messages = float64(total.Count) / float64(r.Hosts*changes)
	r.Bytes = float64(total.Bytes) / float64(r.Hosts*changes)
	return r, nil
}

// publishChange publishes change i at a random host and returns its version.
// Of ten changes, five grant a key, two start a drain, two end one, and one
// changes a rate.
func (f *Fleet) publishChange(i int) (uint64, error) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	change := core.Change{Kind: core.ChangeGrant, Key: makeKey(i, f.sheet.Workspaces[i%len(f.sheet.Workspaces)].Name)}
	target := string(f.hosts[i%5].Name)
	switch i % 10 {
	case 1, 5:
		target = string(f.hosts[i%10].Name)
		change = core.Change{Kind: core.ChangeDrain, Drain: core.Drain{Kind: core.DrainHost, Target: target, Mode: core.ModeDrain, Timeout: time.Minute}}
	case 3, 7:
		change = core.Change{Kind: core.ChangeResume, Target: string(f.hosts[i%10-2].Name)}
	case 9:
		w := f.sheet.Workspaces[i%len(f.sheet.Workspaces)]
		w.Rate += int64(i) * 1000
		change = core.Change{Kind: core.ChangeRate, Workspace: w}
	}
	result, err := h.log.PublishChange(context.Background(), change, 0)
	h.sendPushes()
	return result.Version, err
}

// SpreadTable formats results as a Markdown table.
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
	// Sent and Received are the average rates of one host, by role and
	// message family.
	Sent, Received map[string]map[string]CapacRate
	// Reads and Writes are the store calls per second of the whole fleet, by
	// role and space.
	Reads, Writes map[string]map[core.Space]float64
	// Rows is the number of rows in commits, per second of the whole fleet.
	Rows float64
	// Holders is the number of hosts that act in their domain's seat at the
	// end.
	Holders int
	Fresh   int // hosts whose evidence of being up to date is fresh at the end
	Behind  int // hosts that lack the newest version at the end
}

// CapacRate is a rate of messages, per second.
type CapacRate struct{ Messages, Bytes float64 }

// Traffic measures the control traffic and the store load of a fleet over the
// given number of seconds of virtual time. With changing set, changes are
// published at the rate of the design size, 0.94/s (81,000 a day), and every
// tenth is followed by the withdrawal of a key; otherwise the fleet is idle.
func Traffic(cfg FleetConfig, seconds int, changing bool) (TrafficResult, error) {
	r := TrafficResult{
		Hosts: cfg.Domains * cfg.PerDomain, Domains: cfg.Domains, PerDomain: cfg.PerDomain, Servers: cfg.Servers,
		Changing: changing, Seconds: float64(seconds),
	}
	f, err := NewFleet(cfg)
	if err != nil {
		return r, err
	}
	f.Run(warmUpTime)
	f.counting = true
	if !changing {
		f.Run(time.Duration(seconds) * time.Second)
		f.summarize(&r)
		return r, nil
	}
	interval := 86400 * time.Second / 81000
	for i := 0; time.Duration(i)*interval < time.Duration(seconds)*time.Second; i++ {
		if _, err := f.publishChange(i); err != nil {
			return r, err
		}
		if i%10 == 9 {
			f.withdraw(i - 9)
		}
		f.Run(interval)
	}
	f.counting = false
	f.Run(5 * time.Second)
	f.summarize(&r)
	return r, nil
}

// withdraw withdraws a granted key at a random host. The error is ignored: it
// means that the withdrawal is not accepted yet, which lost messages may cause.
func (f *Fleet) withdraw(key int) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	_, _ = h.keys.Withdraw(context.Background(), core.Withdrawal{Key: makeKey(key, "").Name})
	h.forwardWithdrawals()
}

// role returns the role of the host in its domain, one of hostRoles.
func (h *fleetHost) role() string {
	if _, acting := h.seat.Acting(); acting {
		return "holder"
	}
	if h.seat.ShouldPoll() {
		return "reader"
	}
	return "host"
}

func (f *Fleet) summarize(r *TrafficResult) {
	r.Sent, r.Received = make(map[string]map[string]CapacRate), make(map[string]map[string]CapacRate)
	r.Reads, r.Writes = make(map[string]map[core.Space]float64), make(map[string]map[core.Space]float64)
	hostsByRole := make(map[string]float64)
	newest := uint64(0)
	for _, h := range f.hosts {
		hostsByRole[h.role()]++
		newest = max(newest, h.log.Current().Version)
	}
	r.Holders = int(hostsByRole["holder"])
	for _, h := range f.hosts {
		role := h.role()
		if h.evidence.Fresh(f.timer.Now()) {
			r.Fresh++
		}
		if h.log.Current().Version < newest {
			r.Behind++
		}
		addRates(r.Sent, role, h.sent, r.Seconds*hostsByRole[role])
		addRates(r.Received, role, h.received, r.Seconds*hostsByRole[role])
		addCalls(r.Reads, role, h.reads, r.Seconds)
		addCalls(r.Writes, role, h.writes, r.Seconds)
		for _, t := range h.writes {
			r.Rows += float64(t.Bytes) / r.Seconds
		}
	}
}

func addRates(to map[string]map[string]CapacRate, role string, tallies map[string]tally, divisor float64) {
	if to[role] == nil {
		to[role] = make(map[string]CapacRate)
	}
	for family, t := range tallies {
		old := to[role][family]
		to[role][family] = CapacRate{Messages: old.Messages + float64(t.Count)/divisor, Bytes: old.Bytes + float64(t.Bytes)/divisor}
	}
}

func addCalls(to map[string]map[core.Space]float64, role string, tallies map[core.Space]tally, seconds float64) {
	if to[role] == nil {
		to[role] = make(map[core.Space]float64)
	}
	for space, t := range tallies {
		to[role][space] += float64(t.Count) / seconds
	}
}

var hostRoles = []string{"host", "reader", "holder"}

// TrafficTable formats the message rates as a Markdown table with a row for
// each role: messages and bytes sent, and bytes received, per host and second.
func TrafficTable(results []TrafficResult) string {
	families := []string{"beat", "config", "withdraw", "attest", "promise", "loan"}
	var b strings.Builder
	b.WriteString("| hosts | domains | per domain | servers per domain | changes | role |")
	for _, family := range families {
		b.WriteString(" " + family + " |")
	}
	b.WriteString(" sent, messages/s | sent, B/s | received, B/s |\n|--:|--:|--:|--:|--|--|" + strings.Repeat("--:|", len(families)+3) + "\n")
	for _, r := range results {
		for _, role := range hostRoles {
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

// StoreTable formats the store load as a Markdown table: calls per second of
// the whole fleet, by role.
func StoreTable(results []TrafficResult) string {
	spaces := []core.Space{core.SpaceConfig, core.SpaceSnapshot, core.SpaceWithdrawn, core.SpaceSeat, core.SpaceShare}
	var b strings.Builder
	b.WriteString("| hosts | domains | changes | role |")
	for _, s := range spaces {
		fmt.Fprintf(&b, " reads of %s | commits to %s |", s, s)
	}
	b.WriteString(" reads/s | commits/s | rows in commits/s, all roles |\n|--:|--:|--|--|" + strings.Repeat("--:|", 2*len(spaces)+3) + "\n")
	for _, r := range results {
		for _, role := range hostRoles {
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
