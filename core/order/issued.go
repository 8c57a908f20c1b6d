package order

import (
	"context"
	"strconv"
	"strings"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// An issued key has the form x~<host>~<run>~<period>~<random>. Only the run
// of the host that issued its prefix ever sends the order, so its memory
// alone decides the claim, even while the store is down. Such a key is never
// claimed in the table.
const (
	classIssued  = "x"
	issuedFields = 5
)

// issuedKey is a parsed issued key.
type issuedKey struct {
	host   core.HostID
	runID  string
	period int64 // index of the period, of length Config.PrefixPeriod, in which the prefix was issued
}

func parseIssued(key string) (issuedKey, bool) {
	parts := strings.SplitN(key, "~", issuedFields)
	if len(parts) != issuedFields || parts[0] != classIssued || parts[4] == "" {
		return issuedKey{}, false
	}
	period, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || period < 0 {
		return issuedKey{}, false
	}
	return issuedKey{host: core.HostID(parts[1]), runID: parts[2], period: period}, true
}

// KeyPrefix returns the prefix of the keys that this run decides. A caller whose
// orders must run during a store outage appends a random part to it, and
// sends the order and its repeats to this host. A prefix is accepted for one
// to two times Config.PrefixPeriod.
func (o *Orders) KeyPrefix() string {
	return strings.Join([]string{classIssued, string(o.cfg.Host), o.runID, strconv.FormatInt(o.period(), 10), ""}, "~")
}

func (o *Orders) period() int64 { return int64(o.cfg.Timer.Now() / o.cfg.PrefixPeriod) }

// doIssued runs an order with an issued key.
func (o *Orders) doIssued(ctx context.Context, r Request, k issuedKey, send Send) (Result, error) {
	if k.host != o.cfg.Host || k.runID != o.runID {
		return o.answerForeign(ctx, r, k)
	}
	for {
		c, earlier, err := o.enterIssued(r, k)
		switch {
		case err != nil:
			return Result{}, err
		case earlier != nil:
			result, again, err := o.awaitEarlier(ctx, r, earlier)
			if !again {
				return result, err
			}
		case c == nil:
			return o.answerUnclaimed(ctx, r)
		default:
			return o.runIssued(ctx, r, c, send)
		}
	}
}

func (o *Orders) runIssued(ctx context.Context, r Request, c *call, send Send) (Result, error) {
	if err := o.checkLive(ctx, r); err != nil {
		o.release(c)
		return Result{}, err
	}
	return o.send(ctx, c, send)
}

// enterIssued claims an issued key in memory. It returns neither a call nor
// an error if the key was claimed before and is not pending any more, or if
// its period is not accepted.
func (o *Orders) enterIssued(r Request, k issuedKey) (c, earlier *call, err error) {
	row := rowKey(r.Workspace, r.Key)
	now := o.period()
	o.mu.Lock()
	defer o.mu.Unlock()
	for period := range o.issuedClaims {
		if period < now-1 {
			delete(o.issuedClaims, period)
		}
	}
	if c := o.calls[row]; c != nil {
		return o.handleDuplicate(r, c)
	}
	hash, claimed := o.issuedClaims[k.period][row]
	if claimed && hash != r.Hash {
		return nil, nil, mismatchError()
	}
	if claimed || k.period < now-1 || k.period > now {
		return nil, nil, nil
	}
	c, err = o.admit(r, row)
	if err != nil {
		return nil, nil, err
	}
	c.state, c.issued, c.period = callClaimed, true, k.period
	if o.issuedClaims[k.period] == nil {
		o.issuedClaims[k.period] = make(map[string][32]byte)
	}
	o.issuedClaims[k.period][row] = r.Hash
	o.stats.Claimed++
	return c, nil, nil
}

// dropIssuedClaim removes the claim of an issued key whose order certainly
// did not run.
func (o *Orders) dropIssuedClaim(c *call) {
	delete(o.issuedClaims[c.period], c.row)
	o.finish(c)
}

// recordUnknown queues a row that records the unknown outcome of an issued
// key, so that other hosts answer with it.
func (o *Orders) recordUnknown(c *call) {
	c.state = callRecordingUnknown
	p := o.claimOp(c)
	p.kind = opUnknown
	o.enqueue(p)
}

// answerUnclaimed answers from the table for a key that this run does not
// claim any more. Without a row the order never ran: a call whose order may
// have run stays pending until its row is written, and the caller has checked
// the pending calls.
func (o *Orders) answerUnclaimed(ctx context.Context, r Request) (Result, error) {
	result, found, err := o.answerRecorded(ctx, r)
	if found || err != nil {
		return result, err
	}
	return Result{}, codes.New(codes.OrderExpired, "order: period of the issued key is not accepted any more")
}

// answerForeign answers for a key that another run decides. Without a record,
// only that run can say that the order has not run.
func (o *Orders) answerForeign(ctx context.Context, r Request, k issuedKey) (Result, error) {
	result, found, err := o.answerRecorded(ctx, r)
	if found {
		return result, err
	}
	claimed, err := false, codes.New(codes.PeerDown, "order: the key was issued by an earlier run of host %s", k.host)
	if k.host != o.cfg.Host {
		claimed, err = o.peek(ctx, r, k.host, 0, "")
	}
	switch {
	case err != nil:
		return Result{}, codes.Wrap(err, codes.OrderUnknown, "order: host %s issued the key and cannot be asked about the order", k.host)
	case claimed:
		return Result{}, codes.New(codes.OrderRunning, "order: the order was claimed by host %s and is not recorded yet", k.host)
	default:
		return Result{}, codes.New(codes.OrderNotRun, "order: the key was issued by host %s; only that host runs the order", k.host)
	}
}

// isClaimedHere reports whether this run has claimed an issued key of its own
// whose record may not be written yet. It fails for keys of other runs, and
// for old ones, whose claims are no longer in memory.
func (o *Orders) isClaimedHere(row, key string) (bool, error) {
	k, ok := parseIssued(key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls[row] != nil {
		return true, nil
	}
	if !ok || k.host != o.cfg.Host || k.runID != o.runID || k.period < o.period()-1 {
		return false, codes.New(codes.PeerRefused, "order: the key was not issued by this run of the host, or too long ago")
	}
	_, claimed := o.issuedClaims[k.period][row]
	return claimed, nil
}

// answerRecorded answers from the row of an issued key. It reports whether
// there is one.
func (o *Orders) answerRecorded(ctx context.Context, r Request) (Result, bool, error) {
	row, err := o.read(ctx, rowKey(r.Workspace, r.Key))
	if err != nil {
		return Result{}, false, codes.Wrap(err, codes.OrderUnknown, "order: the record of the order cannot be read")
	}
	if row.Version == 0 {
		return Result{}, false, nil
	}
	result, gone, err := o.answerRow(ctx, r, row)
	return result, !gone, err
}

// defaultPeriod limits the claims that a run holds in memory to those of two
// hours.
const defaultPeriod = time.Hour
