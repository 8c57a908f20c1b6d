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
	listPage   = 500 // rows of one List
	createPage = 50  // rows of one creating commit, below core.CommitLimit
	// readsPerStep bounds the single-row reads of one Step, so that 54
	// domains read at most 270 rows/s for resources that are short.
	readsPerStep = 5
	shortGap     = 3 * time.Second
	shortGapMax  = 10 * time.Second
	createDelay  = time.Second
)

// Step reads and writes the rows of the table as far as they are due. It
// does nothing while the host does not act in the seat. Errors of the table
// are retried by later steps.
func (k *Lender) Step(ctx context.Context) {
	k.stepping.Lock()
	defer k.stepping.Unlock()
	epoch, ok := k.cfg.ActingEpoch()
	if !ok {
		return
	}
	now := k.cfg.Timer.Now()
	k.mu.Lock()
	if k.entered && epoch < k.epoch {
		k.mu.Unlock()
		return
	}
	k.enter(epoch, now)
	k.prune(now)
	due, names := now >= k.reload, k.due()
	k.mu.Unlock()
	if due && !k.load(ctx, epoch, now) {
		return
	}
	k.create(ctx, epoch, now)
	reads := 0
	for _, r := range names {
		if k.refresh(ctx, epoch, r, now, reads < readsPerStep) {
			reads++
		}
		k.write(ctx, epoch, r, now)
	}
}

// prune forgets the sequence numbers of hosts that have not asked for long.
// A message delayed by ten minutes does not survive its connection.
func (k *Lender) prune(now time.Duration) {
	for b, s := range k.seqs {
		if now-s.at > 10*time.Minute {
			delete(k.seqs, b)
		}
	}
}

// due lists the rate resources in a fixed order.
func (k *Lender) due() []core.Resource {
	names := make([]core.Resource, 0, len(k.limits.Rates))
	for r := range k.limits.Rates {
		names = append(names, r)
	}
	slices.Sort(names)
	return names
}

// load reads all rows.
func (k *Lender) load(ctx context.Context, epoch uint64, now time.Duration) bool {
	after := ""
	for {
		rows, err := k.cfg.Table.List(ctx, core.SpaceShare, after, listPage)
		k.mu.Lock()
		k.stats.Reads++
		if err != nil || k.epoch != epoch {
			k.mu.Unlock()
			return false
		}
		for _, row := range rows {
			k.learn(core.Resource(row.Key), row, now)
		}
		if len(rows) < listPage {
			k.loaded, k.reload = true, now+k.cfg.ReadAllInterval
			k.mu.Unlock()
			return true
		}
		k.mu.Unlock()
		after = rows[len(rows)-1].Key
	}
}

// learn takes over a row that was read. A row that cannot be decoded is
// left alone; its resource stays without an amount.
func (k *Lender) learn(r core.Resource, row core.Row, now time.Duration) (changed bool) {
	a := k.account(r)
	if row.Version == 0 || (a.known && row.Version <= a.ver) {
		return false
	}
	decoded, err := DecodeRow(row.Value)
	if err != nil {
		return false
	}
	k.settlePool(now, r, a)
	defer k.settlePool(now, r, a)
	if a.pending != nil || a.plan != nil {
		// A newer version settles the unknown write: it either shows in the
		// row or can no longer take effect.
		a.pending, a.plan, a.floor = nil, nil, nil
	}
	a.row, a.ver, a.token, a.known, a.absent = decoded, row.Version, row.Token, true, false
	a.readGap, a.readAt = shortGap, now+shortGap
	return true
}

// refresh reads one row if its domain is short or a write is unknown.
func (k *Lender) refresh(ctx context.Context, epoch uint64, r core.Resource, now time.Duration, allowed bool) bool {
	k.mu.Lock()
	a := k.accounts[r]
	if a == nil || !allowed || (a.pending == nil && (!a.short || now < a.readAt)) {
		k.mu.Unlock()
		return false
	}
	a.short = false
	a.readGap = min(max(a.readGap*2, shortGap), shortGapMax)
	a.readAt = now + a.readGap
	k.mu.Unlock()
	row, err := k.cfg.Table.Get(ctx, core.SpaceShare, string(r))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Reads++
	if err == nil && k.epoch == epoch {
		k.learn(r, row, now)
	}
	return true
}

// create writes the rows that are missing. Domains take turns in the order
// of the sheet, so that they rarely write the same rows.
func (k *Lender) create(ctx context.Context, epoch uint64, now time.Duration) {
	k.mu.Lock()
	names, waiting := k.missing(now)
	if waiting {
		k.reload = min(k.reload, now+2*time.Second)
	}
	var writes []core.Write
	rows := make(map[core.Resource]Row)
	for _, r := range names {
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
		// Whatever happened, the rows are read before they are used.
		k.reload = 0
		return
	}
	for _, w := range writes {
		a := k.account(core.Resource(w.Key))
		a.row, a.ver, a.token, a.known, a.absent = rows[core.Resource(w.Key)], 1, w.Token, true, false
	}
}

func (k *Lender) missing(now time.Duration) (names []core.Resource, waiting bool) {
	if !k.loaded {
		return nil, false
	}
	for r, l := range k.limits.Rates {
		a := k.account(r)
		rank := slices.Index(l.Domains, k.cfg.Domain)
		if a.known || rank < 0 {
			continue
		}
		if !a.absent {
			a.absent, a.missing = true, now
		}
		if now < a.missing+time.Duration(min(rank, 10))*createDelay {
			waiting = true
			continue
		}
		names = append(names, r)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names[:min(len(names), createPage)], waiting
}

// write commits the next change of a row, if there is one and the loans
// have shrunk enough for it.
func (k *Lender) write(ctx context.Context, epoch uint64, r core.Resource, now time.Duration) {
	k.mu.Lock()
	a := k.accounts[r]
	if a == nil || !a.known {
		k.mu.Unlock()
		return
	}
	next, ok := k.next(r, a, now)
	if !ok {
		k.mu.Unlock()
		return
	}
	k.settlePool(now, r, a)
	k.lower(a, next)
	k.settlePool(now, r, a)
	if !k.mayWrite(a, next, now) {
		k.mu.Unlock()
		return
	}
	body, err := EncodeRow(next)
	w := core.Write{Kind: core.WritePut, Space: core.SpaceShare, Key: string(r), ExpectVersion: a.ver, ExpectToken: a.token, Token: k.cfg.NewToken(), Value: body}
	k.mu.Unlock()
	if err != nil {
		return
	}
	err = k.commit(ctx, []core.Write{w}, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.epoch == epoch {
		k.settlePool(now, r, a)
		k.settle(a, next, w, err, now)
		k.settlePool(now, r, a)
	}
}

// mayWrite reports whether the loans fit what the row leaves to the domain.
// A new holder lowers nothing until the loans of its predecessor, which it
// does not know, have expired.
func (k *Lender) mayWrite(a *account, next Row, now time.Duration) bool {
	before, after := a.row.Amounts[k.cfg.Domain], next.Amounts[k.cfg.Domain]
	if before.Fits(after) {
		return true
	}
	lent := a.debts.lent(now)
	lent.Burst += a.debts.flying()
	return now >= k.adopting && lent.Fits(after)
}

// lower stops the use of what a row is about to lose, before the commit.
func (k *Lender) lower(a *account, next Row) {
	floor := next.Amounts[k.cfg.Domain]
	if a.floor != nil {
		floor = floor.Min(*a.floor)
	}
	a.floor = &floor
}

// next returns the row to write: the write with an unknown outcome again,
// then what the limit asks for, then a transfer.
func (k *Lender) next(r core.Resource, a *account, now time.Duration) (Row, bool) {
	if a.pending != nil {
		// Until a commit on this version has succeeded, the unknown one can
		// still take effect. The repeated write excludes it.
		return *a.pending, true
	}
	l := k.limits.Rates[r]
	if row, changed := a.row.reconcile(k.limits.Version, l, k.cfg.Domain); changed {
		a.plan = nil
		return row, true
	}
	if a.plan == nil {
		a.plan = k.propose(a, l, now)
	}
	if a.plan == nil {
		a.floor = nil
		return Row{}, false
	}
	if now-a.plan.since > 2*k.cfg.LoanDuration {
		a.plan, a.floor, a.moveAt = nil, nil, now+k.cfg.TransferInterval
		return Row{}, false
	}
	row := a.row.clone()
	row.Amounts[k.cfg.Domain] = row.Amounts[k.cfg.Domain].Sub(a.plan.part)
	row.Amounts[a.plan.to] = row.Amounts[a.plan.to].Add(a.plan.part)
	return row, true
}

// commit adds the seat check and commits, within the budget.
func (k *Lender) commit(ctx context.Context, writes []core.Write, now time.Duration) error {
	check, ok := k.cfg.SeatCheck()
	if !ok {
		return codes.New(codes.SeatLost, "share: no check of the seat of domain %s", k.cfg.Domain)
	}
	k.mu.Lock()
	allowed := k.budget.AllowN(time.Unix(0, 0).Add(now), 1)
	if allowed {
		k.stats.Commits++
	}
	k.mu.Unlock()
	if !allowed {
		return codes.New(codes.StoreLimit, "share: commit budget of domain %s is spent", k.cfg.Domain)
	}
	return k.cfg.Table.Commit(ctx, append(writes, check))
}

// settle records the outcome of a commit.
func (k *Lender) settle(a *account, next Row, w core.Write, err error, now time.Duration) {
	moved := a.plan
	switch codes.Of(err) {
	case codes.OK:
		a.row, a.ver, a.token = next, w.ExpectVersion+1, w.Token
		a.pending, a.plan, a.floor = nil, nil, nil
		if moved != nil {
			k.stats.Transfers++
			a.moveAt = now + k.cfg.TransferInterval
			a.movedTo, a.movedAt = moved.to, now
		}
	case codes.StoreDown, codes.StoreLimit, codes.SeatLost, codes.StoreConflict:
		// Nothing was written by this commit; an earlier unknown one stays
		// unknown until its row is read at a newer version.
		a.short, a.readAt = true, now
		if a.pending == nil {
			a.plan, a.floor = nil, nil
			a.moveAt = max(a.moveAt, now+shortGap)
		}
	default:
		k.stats.UnknownCommits++
		a.pending = &next
	}
}

// propose plans a transfer to the domain whose hosts want the most from
// this one. The two amounts are divided max-min fairly by the smoothed needs
// of both domains.
func (k *Lender) propose(a *account, l Limit, now time.Duration) *transfer {
	a.smooth(now, k.cfg)
	own := a.row.Amounts[k.cfg.Domain]
	if now < k.adopting || now < a.moveAt || len(a.row.Parts) > 0 || own.Rate == 0 {
		return nil
	}
	to, need := a.neediest(l, k.cfg.Domain)
	have, want := a.row.Amounts[to], int64(a.needs[k.cfg.Domain])
	part := own.Rate - MaxMin(own.Rate+have.Rate, []int64{want, have.Rate + need})[0]
	if need == 0 || part <= 0 {
		return nil
	}
	move := core.Amount{Rate: part, Burst: scale(own.Burst, part, own.Rate) / request * request}
	if want < own.Rate {
		// Only what is not lent moves, so that borrowers see no gap; their
		// loans become free for the next transfer once they hold the moved
		// part from their own domain.
		free := own.Sub(a.debts.lent(now))
		free.Burst -= a.debts.flying()
		free = free.Max(core.Amount{})
		move = move.Min(core.Amount{Rate: free.Rate * 3 / 4, Burst: free.Burst * 3 / 4 / request * request})
	}
	move.Rate = min(move.Rate, own.Rate-keepAtLeast(l, k.cfg.Domain))
	if move.Rate < max(own.Rate/8, request) {
		return nil
	}
	return &transfer{to: to, part: move, since: now}
}

// keepAtLeast returns the rate below which a domain transfers nothing: three
// quarters of an equal part. Loans move what is needed elsewhere within
// seconds and come back when the domain is cut off; a transferred amount does
// not. A domain outside the limit keeps nothing.
func keepAtLeast(l Limit, d core.DomainID) int64 {
	if !l.has(d) {
		return 0
	}
	return l.Amount.Rate / int64(len(l.Domains)) * 3 / 4
}

// smooth updates the smoothed needs.
func (a *account) smooth(now time.Duration, cfg LenderConfig) {
	wants := make(map[core.DomainID]float64)
	own, foreign := a.debts.active(now, cfg.LoanDuration/2, cfg.Domain)
	for _, b := range append(own, foreign...) {
		wants[a.debts[b].domain] += float64(a.debts[b].want.Rate)
	}
	if a.needs == nil {
		a.needs, a.needsAt = make(map[core.DomainID]float64), now
	}
	keep := math.Exp(-(now - a.needsAt).Seconds() / cfg.DemandTimeConstant.Seconds())
	a.needsAt = now
	for d, need := range a.needs {
		a.needs[d] = need * keep
		if a.needs[d] < 1 {
			delete(a.needs, d)
		}
	}
	for d, want := range wants {
		a.needs[d] += want * (1 - keep)
	}
}

// neediest returns the domain of the limit whose hosts want the most from
// this one.
func (a *account) neediest(l Limit, domain core.DomainID) (to core.DomainID, need int64) {
	for _, d := range l.Domains {
		if n := int64(a.needs[d]); d != domain && n > need {
			to, need = d, n
		}
	}
	return to, need
}
