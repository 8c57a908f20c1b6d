package share

import (
	"context"
	"math"
	"slices"
	"sort"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

const (
	listPageSize    = 500 // rows per List call
	createBatchSize = 50  // rows created per commit; below core.MaxCommitWrites
	// readsPerStep limits the single-row reads per Step, so that 54 domains
	// read at most 270 rows/s for resources that need a read.
	readsPerStep       = 5
	minReadInterval    = 3 * time.Second
	maxReadInterval    = 10 * time.Second
	createDelayPerRank = time.Second
)

// Step reads and writes the rows of the table that are due. It does nothing
// while the host may not act in the seat. Later calls retry what failed.
func (k *Lender) Step(ctx context.Context) {
	k.stepMu.Lock()
	defer k.stepMu.Unlock()
	epoch, ok := k.cfg.ActingEpoch()
	if !ok {
		return
	}
	now := k.cfg.Timer.Now()
	k.mu.Lock()
	if k.hasEpoch && epoch < k.epoch {
		k.mu.Unlock()
		return
	}
	k.enterEpoch(epoch, now)
	k.prune(now)
	readAllDue, resources := now >= k.nextReadAll, k.rateResources()
	k.mu.Unlock()
	if readAllDue && !k.readAll(ctx, epoch, now) {
		return
	}
	k.createRows(ctx, epoch, now)
	reads := 0
	for _, r := range resources {
		if k.refreshRow(ctx, epoch, r, now, reads < readsPerStep) {
			reads++
		}
		k.writeRow(ctx, epoch, r, now)
	}
}

// prune removes the sequence numbers of borrowers without a request for ten
// minutes. A message does not stay in transit that long: its connection ends
// before.
func (k *Lender) prune(now time.Duration) {
	for b, s := range k.lastRequests {
		if now-s.at > 10*time.Minute {
			delete(k.lastRequests, b)
		}
	}
}

// rateResources returns the rate resources, sorted.
func (k *Lender) rateResources() []core.Resource {
	resources := make([]core.Resource, 0, len(k.limits.Rates))
	for r := range k.limits.Rates {
		resources = append(resources, r)
	}
	slices.Sort(resources)
	return resources
}

// readAll reads all rows and reports whether it succeeded.
func (k *Lender) readAll(ctx context.Context, epoch uint64, now time.Duration) bool {
	afterKey := ""
	for {
		rows, err := k.cfg.Table.List(ctx, core.SpaceShare, afterKey, listPageSize)
		k.mu.Lock()
		k.stats.Reads++
		if err != nil || k.epoch != epoch {
			k.mu.Unlock()
			return false
		}
		for _, row := range rows {
			k.applyRow(core.Resource(row.Key), row, now)
		}
		if len(rows) < listPageSize {
			k.allRowsRead, k.nextReadAll = true, now+k.cfg.ReadAllInterval
			k.mu.Unlock()
			return true
		}
		k.mu.Unlock()
		afterKey = rows[len(rows)-1].Key
	}
}

// applyRow adopts a row that was read and reports whether it was newer. A row
// that cannot be decoded is ignored; its resource keeps the state that it had.
func (k *Lender) applyRow(r core.Resource, row core.Row, now time.Duration) (changed bool) {
	st := k.state(r)
	if row.Version == 0 || (st.rowKnown && row.Version <= st.version) {
		return false
	}
	decoded, err := DecodeRow(row.Value)
	if err != nil {
		return false
	}
	k.refillPool(now, r, st)
	defer k.refillPool(now, r, st)
	if st.unconfirmed != nil || st.planned != nil {
		// A newer version resolves the unknown write: the row contains it, or it
		// can no longer take effect.
		st.unconfirmed, st.planned, st.ceiling = nil, nil, nil
	}
	st.row, st.version, st.token, st.rowKnown, st.rowMissing = decoded, row.Version, row.Token, true, false
	st.readInterval, st.nextRead = minReadInterval, now+minReadInterval
	return true
}

// refreshRow reads one row if it needs a read or a write is unconfirmed. It
// reports whether it read.
func (k *Lender) refreshRow(ctx context.Context, epoch uint64, r core.Resource, now time.Duration, allowed bool) bool {
	k.mu.Lock()
	st := k.states[r]
	if st == nil || !allowed || (st.unconfirmed == nil && (!st.needsRead || now < st.nextRead)) {
		k.mu.Unlock()
		return false
	}
	st.needsRead = false
	st.readInterval = min(max(st.readInterval*2, minReadInterval), maxReadInterval)
	st.nextRead = now + st.readInterval
	k.mu.Unlock()
	row, err := k.cfg.Table.Get(ctx, core.SpaceShare, string(r))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Reads++
	if err == nil && k.epoch == epoch {
		k.applyRow(r, row, now)
	}
	return true
}

// createRows creates missing rows. Each domain waits by its position in the
// limit's list of domains, so that two domains rarely create the same row.
func (k *Lender) createRows(ctx context.Context, epoch uint64, now time.Duration) {
	k.mu.Lock()
	resources, hasLater := k.missingRows(now)
	if hasLater {
		k.nextReadAll = min(k.nextReadAll, now+2*time.Second)
	}
	var writes []core.Write
	rows := make(map[core.Resource]Row)
	for _, r := range resources {
		row := newRow(k.limits.Version, k.limits.Rates[r])
		body, err := EncodeRow(row)
		if err != nil {
			continue
		}
		rows[r] = row
		writes = append(writes, core.Write{Kind: core.WritePut, Space: core.SpaceShare, Key: string(r), Token: k.cfg.NewToken(), Value: body})
	}
	k.mu.Unlock()
	if len(writes) == 0 {
		return
	}
	err := k.commit(ctx, writes, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil || k.epoch != epoch {
		// The commit may have taken effect, so all rows are read before they are
		// used.
		k.nextReadAll = 0
		return
	}
	for _, w := range writes {
		st := k.state(core.Resource(w.Key))
		st.row, st.version, st.token, st.rowKnown, st.rowMissing = rows[core.Resource(w.Key)], 1, w.Token, true, false
	}
}

func (k *Lender) missingRows(now time.Duration) (resources []core.Resource, hasLater bool) {
	if !k.allRowsRead {
		return nil, false
	}
	for r, l := range k.limits.Rates {
		st := k.state(r)
		rank := slices.Index(l.Domains, k.cfg.Domain)
		if st.rowKnown || rank < 0 {
			continue
		}
		if !st.rowMissing {
			st.rowMissing, st.missingSince = true, now
		}
		if now < st.missingSince+time.Duration(min(rank, 10))*createDelayPerRank {
			hasLater = true
			continue
		}
		resources = append(resources, r)
	}
	sort.Slice(resources, func(i, j int) bool { return resources[i] < resources[j] })
	return resources[:min(len(resources), createBatchSize)], hasLater
}

// writeRow commits the next change of a row, if there is one and the loans
// have shrunk enough for it.
func (k *Lender) writeRow(ctx context.Context, epoch uint64, r core.Resource, now time.Duration) {
	k.mu.Lock()
	st := k.states[r]
	if st == nil || !st.rowKnown {
		k.mu.Unlock()
		return
	}
	next, ok := k.nextRow(r, st, now)
	if !ok {
		k.mu.Unlock()
		return
	}
	k.refillPool(now, r, st)
	k.lowerCeiling(st, next)
	k.refillPool(now, r, st)
	if !k.canWrite(st, next, now) {
		k.mu.Unlock()
		return
	}
	body, err := EncodeRow(next)
	w := core.Write{Kind: core.WritePut, Space: core.SpaceShare, Key: string(r), ExpectVersion: st.version, ExpectToken: st.token, Token: k.cfg.NewToken(), Value: body}
	k.mu.Unlock()
	if err != nil {
		return
	}
	err = k.commit(ctx, []core.Write{w}, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.epoch == epoch {
		k.refillPool(now, r, st)
		k.recordOutcome(st, next, w, err, now)
		k.refillPool(now, r, st)
	}
}

// canWrite reports whether the loans fit the domain's amount in the next row.
// A new seat holder does not lower the amount before the loans of its
// predecessor, which it does not know, have expired.
func (k *Lender) canWrite(st *resourceState, next Row, now time.Duration) bool {
	before, after := st.row.Amounts[k.cfg.Domain], next.Amounts[k.cfg.Domain]
	if before.Fits(after) {
		return true
	}
	outstanding := st.loans.outstanding(now)
	outstanding.Burst += st.loans.tokensInFlight()
	return now >= k.renewOnlyUntil && outstanding.Fits(after)
}

// lowerCeiling stops the use of what the next row takes from the domain,
// before the commit.
func (k *Lender) lowerCeiling(st *resourceState, next Row) {
	ceiling := next.Amounts[k.cfg.Domain]
	if st.ceiling != nil {
		ceiling = ceiling.Min(*st.ceiling)
	}
	st.ceiling = &ceiling
}

// nextRow returns the row to write and whether there is one: first a write
// with an unknown outcome, then a change to the limit, then a transfer.
func (k *Lender) nextRow(r core.Resource, st *resourceState, now time.Duration) (Row, bool) {
	if st.unconfirmed != nil {
		// Until a commit that expects this version succeeds, the unconfirmed one
		// can still take effect. The repeated write rules that out.
		return *st.unconfirmed, true
	}
	l := k.limits.Rates[r]
	if row, changed := st.row.reconcile(k.limits.Version, l, k.cfg.Domain); changed {
		st.planned = nil
		return row, true
	}
	if st.planned == nil {
		st.planned = k.planTransfer(st, l, now)
	}
	if st.planned == nil {
		st.ceiling = nil
		return Row{}, false
	}
	if now-st.planned.plannedAt > 2*k.cfg.LoanDuration {
		st.planned, st.ceiling, st.nextTransfer = nil, nil, now+k.cfg.TransferInterval
		return Row{}, false
	}
	row := st.row.clone()
	row.Amounts[k.cfg.Domain] = row.Amounts[k.cfg.Domain].Sub(st.planned.amount)
	row.Amounts[st.planned.recipient] = row.Amounts[st.planned.recipient].Add(st.planned.amount)
	return row, true
}

// commit commits the writes together with the seat check, within the rate
// limit of commits.
func (k *Lender) commit(ctx context.Context, writes []core.Write, now time.Duration) error {
	check, ok := k.cfg.SeatCheck()
	if !ok {
		return codes.New(codes.SeatLost, "share: no seat check for domain %s, the commit was not sent", k.cfg.Domain)
	}
	k.mu.Lock()
	allowed := k.commitLimiter.AllowN(time.Unix(0, 0).Add(now), 1)
	if allowed {
		k.stats.Commits++
	}
	k.mu.Unlock()
	if !allowed {
		return codes.New(codes.StoreLimit, "share: the lender of domain %s reached its limit of commits per second", k.cfg.Domain)
	}
	return k.cfg.Table.Commit(ctx, append(writes, check))
}

// recordOutcome records the outcome of a commit.
func (k *Lender) recordOutcome(st *resourceState, next Row, w core.Write, err error, now time.Duration) {
	committed := st.planned
	switch codes.Of(err) {
	case codes.OK:
		st.row, st.version, st.token = next, w.ExpectVersion+1, w.Token
		st.unconfirmed, st.planned, st.ceiling = nil, nil, nil
		if committed != nil {
			k.stats.Transfers++
			st.nextTransfer = now + k.cfg.TransferInterval
			st.lastRecipient, st.lastTransfer = committed.recipient, now
		}
	case codes.StoreDown, codes.StoreLimit, codes.SeatLost, codes.StoreConflict:
		// This commit wrote nothing. The outcome of an earlier unconfirmed one
		// stays unknown until the row is read at a newer version.
		st.needsRead, st.nextRead = true, now
		if st.unconfirmed == nil {
			st.planned, st.ceiling = nil, nil
			st.nextTransfer = max(st.nextTransfer, now+minReadInterval)
		}
	default:
		k.stats.UnknownCommits++
		st.unconfirmed = &next
	}
}

// planTransfer plans a transfer to the domain whose hosts demand the most from
// this one. The amounts of both domains are divided by max-min fairness over
// their smoothed demands. It returns nil if no transfer is due.
func (k *Lender) planTransfer(st *resourceState, l Limit, now time.Duration) *transfer {
	st.updateDemand(now, k.cfg)
	own := st.row.Amounts[k.cfg.Domain]
	if now < k.renewOnlyUntil || now < st.nextTransfer || len(st.row.Parts) > 0 || own.Rate == 0 {
		return nil
	}
	recipient, foreignDemand := st.highestDemand(l, k.cfg.Domain)
	theirs, ownDemand := st.row.Amounts[recipient], int64(st.demand[k.cfg.Domain])
	rate := own.Rate - MaxMin(own.Rate+theirs.Rate, []int64{ownDemand, theirs.Rate + foreignDemand})[0]
	if foreignDemand == 0 || rate <= 0 {
		return nil
	}
	amount := core.Amount{Rate: rate, Burst: mulDiv(own.Burst, rate, own.Rate) / requestWeight * requestWeight}
	if ownDemand < own.Rate {
		// Only what is not lent is transferred, so that borrowers see no gap.
		// Their loans become free for the next transfer once they hold the
		// transferred amount from their own domain.
		free := own.Sub(st.loans.outstanding(now))
		free.Burst -= st.loans.tokensInFlight()
		free = free.Max(core.Amount{})
		amount = amount.Min(core.Amount{Rate: free.Rate * 3 / 4, Burst: free.Burst * 3 / 4 / requestWeight * requestWeight})
	}
	amount.Rate = min(amount.Rate, own.Rate-minRetainedRate(l, k.cfg.Domain))
	if amount.Rate < max(own.Rate/8, requestWeight) {
		return nil
	}
	return &transfer{recipient: recipient, amount: amount, plannedAt: now}
}

// minRetainedRate returns the rate below which a domain transfers nothing:
// three quarters of an equal part. Loans move rate to where it is needed
// within seconds and come back when a domain is cut off; a transferred amount
// does not. A domain that is not in the limit retains nothing.
func minRetainedRate(l Limit, d core.DomainID) int64 {
	if !l.includes(d) {
		return 0
	}
	return l.Amount.Rate / int64(len(l.Domains)) * 3 / 4
}

// updateDemand updates the smoothed demand.
func (st *resourceState) updateDemand(now time.Duration, cfg LenderConfig) {
	current := make(map[core.DomainID]float64)
	own, foreign := st.loans.active(now, cfg.LoanDuration/2, cfg.Domain)
	for _, b := range append(own, foreign...) {
		current[st.loans[b].domain] += float64(st.loans[b].demand.Rate)
	}
	if st.demand == nil {
		st.demand, st.demandUpdated = make(map[core.DomainID]float64), now
	}
	decay := math.Exp(-(now - st.demandUpdated).Seconds() / cfg.DemandTimeConstant.Seconds())
	st.demandUpdated = now
	for d, smoothed := range st.demand {
		st.demand[d] = smoothed * decay
		if st.demand[d] < 1 {
			delete(st.demand, d)
		}
	}
	for d, rate := range current {
		st.demand[d] += rate * (1 - decay)
	}
}

// highestDemand returns the other domain of the limit whose hosts demand the
// most from this one, and that demand.
func (st *resourceState) highestDemand(l Limit, domain core.DomainID) (recipient core.DomainID, highest int64) {
	for _, d := range l.Domains {
		if n := int64(st.demand[d]); d != domain && n > highest {
			recipient, highest = d, n
		}
	}
	return recipient, highest
}
