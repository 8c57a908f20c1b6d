package quota

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/fanout"
)

const (
	// BorrowInterval is the time between two calls of Borrower.Refresh. It is well
	// below renewTime.
	BorrowInterval = 200 * time.Millisecond
	// maxLenders is how many hosts are asked in turn for one loan in one Refresh.
	maxLenders = 3
	// refusalTime is the time for which a host is not asked again after it had
	// nothing to lend.
	refusalTime = time.Second
	// maxRequests bounds the requests for loans that are on their way.
	maxRequests = 8
)

// BorrowerConfig configures a Borrower. All fields are required.
type BorrowerConfig struct {
	Timer   core.Timer
	Host    core.HostID
	Limiter *Limiter
	// Lenders returns the addresses of hosts that may have a part of a workspace's
	// rate to lend, best first.
	Lenders func(core.WorkspaceID) []string
	// Request asks the host with an address for a loan.
	Request func(ctx context.Context, address string, r core.RateLoanRequest) (core.RateLoanReply, error)
	// OnReply is called with each loan that was asked for, and its reply or error.
	OnReply func(Want, core.RateLoanReply, error)
}

// Borrower gets the loans that a limiter needs. Refresh must not be called
// concurrently.
type Borrower struct {
	cfg     BorrowerConfig
	refused map[lender]time.Duration // when a host that had nothing may be asked again
}

type lender struct {
	workspace core.WorkspaceID
	address   string
}

// NewBorrower returns a borrower that has asked for nothing.
func NewBorrower(cfg BorrowerConfig) *Borrower {
	return &Borrower{cfg: cfg, refused: make(map[lender]time.Duration)}
}

// Refresh asks other hosts for what Limiter.Wants returns, and waits for their replies.
// The owner calls it every BorrowInterval.
func (b *Borrower) Refresh(ctx context.Context) {
	now := b.cfg.Timer.Now()
	for l, until := range b.refused {
		if now >= until {
			delete(b.refused, l)
		}
	}
	wants := b.cfg.Limiter.Wants()
	lenders := make([][]string, len(wants))
	for i, w := range wants {
		lenders[i] = b.lenders(w)
	}
	refusals := make([][]string, len(wants))
	fanout.Each(maxRequests, len(wants), func(i int) { refusals[i] = b.borrow(ctx, wants[i], lenders[i]) })
	for i, w := range wants {
		for _, address := range refusals[i] {
			b.refused[lender{w.Workspace, address}] = b.cfg.Timer.Now() + refusalTime
		}
	}
}

// lenders returns the hosts to ask for a loan, in order.
func (b *Borrower) lenders(w Want) []string {
	if w.Lender != "" {
		return []string{w.Lender}
	}
	var list []string
	for _, address := range b.cfg.Lenders(w.Workspace) {
		if _, refused := b.refused[lender{w.Workspace, address}]; !refused && len(list) < maxLenders {
			list = append(list, address)
		}
	}
	return list
}

// borrow asks hosts in turn until the loan is covered, and returns those that granted
// nothing more.
func (b *Borrower) borrow(ctx context.Context, w Want, lenders []string) (refused []string) {
	isRenewal := w.Lender != ""
	for _, address := range lenders {
		held := 0.0
		if !isRenewal {
			held = b.cfg.Limiter.Borrowed(w.Workspace, address) // a loan replaces an earlier one
		}
		ask := Want{Workspace: w.Workspace, Share: w.Share + held, Lender: address}
		asked := b.cfg.Timer.Now()
		reply, err := b.cfg.Request(ctx, address, core.RateLoanRequest{Host: b.cfg.Host, Workspace: w.Workspace, Share: ask.Share})
		b.cfg.OnReply(ask, reply, err)
		b.cfg.Limiter.AddLoan(w.Workspace, address, reply, asked)
		if reply.Share <= held {
			refused = append(refused, address)
			continue
		}
		if w.Share -= reply.Share - held; w.Share <= 0 {
			break
		}
	}
	return refused
}
