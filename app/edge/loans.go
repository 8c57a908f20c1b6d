package edge

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/fanout"
	"azurering/core/quota"
	"azurering/core/timer"
)

const (
	// recallInterval is the time between two attempts to recall the loans of an
	// earlier process.
	recallInterval = 100 * time.Millisecond
	// maxRecalls bounds the hosts that are told of this process. A host of a larger
	// fleet waits until the loans have ended.
	maxRecalls = 128
)

// runLoans borrows from other hosts the parts of rates that this host needs.
func (h *host) runLoans(ctx context.Context) {
	borrower := quota.NewBorrower(quota.BorrowerConfig{
		Timer: h.timer, Host: h.cfg.Place.Name, Limiter: h.limiter, Lenders: h.members.Lenders, Request: h.beacon.RequestLoan,
		OnReply: func(w quota.Want, r core.RateLoanReply, err error) {
			h.metrics.CountLoan(loanResult(r, err))
			h.cfg.Log.WithFields(logrus.Fields{"event": "loan", "workspace": w.Workspace, "from": w.Lender, "want": w.Share, "given": r.Share}).
				WithError(err).Debug("edge: asked another host for a part of a rate")
		},
	})
	timer.Every(ctx, h.timer, "loans", quota.BorrowInterval, nil, borrower.Refresh)
}

// loanResult names the end of a request for a loan in metrics.
func loanResult(r core.RateLoanReply, err error) string {
	switch {
	case err != nil:
		return "unanswered"
	case r.Share > 0:
		return "granted"
	}
	return "refused"
}

// runRecall tells the other hosts that this process is new, so that it may use all of
// its part of the rates as soon as all of them have ended the loans of an earlier
// process. It ends when they have, or when the loans have ended by themselves.
func (h *host) runRecall(ctx context.Context) {
	told := make(map[core.HostID]bool)
	for ctx.Err() == nil && h.limiter.IsWaiting() {
		if h.recallAll(ctx, told) {
			h.limiter.EndWait()
			return
		}
		select {
		case <-ctx.Done():
		case <-h.timer.After(recallInterval):
		}
	}
}

// recallAll tells the hosts that are not told yet, and reports whether all are.
func (h *host) recallAll(ctx context.Context, told map[core.HostID]bool) bool {
	others := h.members.Totals()
	if !others.Complete || len(others.Hosts) > maxRecalls {
		return false
	}
	addresses := make(map[core.HostID]string)
	for _, p := range h.members.Peers() {
		addresses[p.Host] = p.Address
	}
	replied := make([]bool, len(others.Hosts))
	fanout.Each(len(others.Hosts), len(others.Hosts), func(i int) {
		id := others.Hosts[i]
		replied[i] = told[id] || h.beacon.Recall(ctx, addresses[id], core.RateRecall{Host: h.cfg.Place.Name, StartedMs: h.bootTime}) == nil
	})
	for i, id := range others.Hosts {
		told[id] = replied[i]
	}
	return !slices.Contains(replied, false)
}

// endLoans ends the loans of a host whose process is new. It does nothing and returns
// false until a heartbeat of that process has arrived.
func (h *host) endLoans(address string, r core.RateRecall) bool {
	if !h.members.HasHeard(r.Host, r.StartedMs) {
		return false
	}
	h.limiter.EndLoans(address)
	return true
}
