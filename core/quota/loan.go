package quota

import (
	"math"
	"time"

	"azurering/core"
)

const (
	// loanTime is the time for which a part of a rate is lent. The borrower counts it
	// from its request and the lender from its reply, so that the borrower's ends
	// first. A host that starts waits for so long before it uses all of its part,
	// unless it learns sooner that nothing of it is lent.
	loanTime = 2 * time.Second
	// clockMargin covers the difference in speed of two hosts' clocks during a loan.
	clockMargin = 20 * time.Millisecond
	// renewTime is the time before the end of a loan at which the borrower renews it:
	// enough for a few attempts.
	renewTime = 700 * time.Millisecond
	// keptFraction is the fraction of its base share that a host never lends, for
	// requests that arrive suddenly and for the time after a restart.
	keptFraction = 0.2
	// headroom is the ratio of the rate that a host keeps or borrows to its demand.
	headroom = 1.25
	// lowLevel is the ratio of a host's part of the rate to its demand below which it
	// borrows more.
	lowLevel = 1.1
	// minLoan is the smallest loan, as a fraction of an even part.
	minLoan = 0.05
)

// loan is a part of a rate and burst that one host has lent to another.
type loan struct {
	share float64 // fraction of the whole rate and burst
	until time.Duration
}

// Want is a loan that this host needs.
type Want struct {
	Workspace core.WorkspaceID
	Share     float64 // fraction of the whole rate and burst
	// Lender is the address of the host whose loan is to be renewed, or empty for a
	// further loan of any host.
	Lender string
}

// Wants returns the loans that this host needs: those that are about to end and are
// still used, and further ones for the workspaces whose demand here has outgrown this
// host's share.
func (l *Limiter) Wants() []Want {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Want
	for name, b := range l.buckets {
		if b.rate <= 0 || b.pooled {
			continue
		}
		l.refill(b, now)
		need := min(b.demand/b.rate, 1)
		have := b.share // as it will be without the renewals that are not needed
		for lender, g := range b.borrowed {
			if now < g.until-renewTime {
				continue
			}
			used := min(need*headroom-(have-g.share), g.share)
			if used < l.minLoan() {
				have -= g.share
				continue
			}
			have -= g.share - used
			list = append(list, Want{Workspace: name, Share: used, Lender: lender})
		}
		if missing := need*headroom - have; need*lowLevel > have && missing >= l.minLoan() {
			list = append(list, Want{Workspace: name, Share: missing})
		}
	}
	return list
}

// Grant decides how much of a rate to lend to a host that asks for it. What it grants
// replaces an earlier loan to the same host. From then on it is not part of this host's
// share, even if the reply is lost.
func (l *Limiter) Grant(r core.RateLoanRequest) core.RateLoanReply {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[r.Workspace]
	if b == nil || b.rate <= 0 || r.Host == "" || r.Host == l.cfg.Host {
		return core.RateLoanReply{}
	}
	l.refill(b, now)
	earlier := largest(b.lent[r.Host])
	kept := max(keptFraction*b.base, headroom*b.demand/b.rate)
	granted := min(r.Share, l.usableBase(b, now)-b.lentShare()+earlier-kept)
	if math.IsNaN(granted) || granted < l.minLoan() {
		return core.RateLoanReply{}
	}
	b.lent[r.Host] = append(b.lent[r.Host], loan{share: granted, until: now + loanTime})
	l.updateShare(b)
	return core.RateLoanReply{Share: granted}
}

// AddLoan records what the host with an address granted in reply to a request that was
// sent at the time asked. It replaces an earlier loan of that host; a refusal does not.
func (l *Limiter) AddLoan(w core.WorkspaceID, lender string, r core.RateLoanReply, asked time.Duration) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	at, recalled := l.recalled[lender]
	if b == nil || math.IsNaN(r.Share) || r.Share <= 0 || recalled && asked <= at {
		return
	}
	l.refill(b, now)
	b.borrowed[lender] = loan{share: r.Share, until: asked + loanTime - clockMargin}
	l.updateShare(b)
}

// Borrowed returns the fraction of a workspace's rate that the host with an address has
// lent to this host.
func (l *Limiter) Borrowed(w core.WorkspaceID, lender string) float64 {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil {
		return 0
	}
	l.refill(b, now)
	return b.borrowed[lender].share
}

// EndLoans ends all loans of the host with an address, because a new process of it has
// started that does not know them. Replies to earlier requests count no more.
func (l *Limiter) EndLoans(lender string) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recalled[lender] = now
	for _, b := range l.buckets {
		l.refill(b, now)
		delete(b.borrowed, lender)
		l.updateShare(b)
	}
}

// IsWaiting reports whether this host does not use all of its base share yet, because an
// earlier process may have lent it, or the other hosts may not have heard of this host.
func (l *Limiter) IsWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cfg.Timer.Now() < l.usableAt
}

// EndWait lets this host use all of its base share. Call it once all other hosts have
// ended the loans of earlier processes and have heard of this one.
func (l *Limiter) EndWait() {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.refill(b, now)
	}
	l.usableAt = min(l.usableAt, now)
	for _, b := range l.buckets {
		l.updateShare(b)
	}
}

// minLoan returns the smallest loan, as a fraction of the whole rate.
func (l *Limiter) minLoan() float64 { return minLoan / float64(l.hosts) }

// usableBase returns the part of a bucket's base share that this host may use or lend.
func (l *Limiter) usableBase(b *bucket, now time.Duration) float64 {
	if now < l.usableAt {
		return keptFraction * b.base
	}
	return b.base
}

// updateShare computes the share of a bucket at the time of its last update, without
// loans that have ended by then. If the share shrinks, the tokens that only the larger
// one could hold are gone.
func (l *Limiter) updateShare(b *bucket) {
	b.changesAt = math.MaxInt64
	if b.updated < l.usableAt {
		b.changesAt = l.usableAt
	}
	for host, loans := range b.lent {
		kept := loans[:0]
		for _, g := range loans {
			if g.until > b.updated {
				kept = append(kept, g)
				b.changesAt = min(b.changesAt, g.until)
			}
		}
		if b.lent[host] = kept; len(kept) == 0 {
			delete(b.lent, host)
		}
	}
	for lender, g := range b.borrowed {
		if g.until <= b.updated {
			delete(b.borrowed, lender)
			continue
		}
		b.changesAt = min(b.changesAt, g.until)
	}
	before := b.share
	b.share = max(l.usableBase(b, b.updated)-b.lentShare(), 0) + b.borrowedShare()
	if lost := before - b.share; lost > 0 {
		b.tokens = min(b.tokens, max(b.depth(), b.tokens-lost*b.burst))
	}
}

// lentShare returns how much of the base share other hosts may have.
func (b *bucket) lentShare() float64 {
	total := 0.0
	for _, loans := range b.lent {
		total += largest(loans)
	}
	return total
}

func (b *bucket) borrowedShare() float64 {
	total := 0.0
	for _, g := range b.borrowed {
		total += g.share
	}
	return total
}

// largest returns the largest of the loans to one host. It may not have received the
// replies that came after it.
func largest(loans []loan) float64 {
	most := 0.0
	for _, g := range loans {
		most = max(most, g.share)
	}
	return most
}
