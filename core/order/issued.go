package order

import (
	"context"
	"strconv"
	"strings"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// An issued key is x~<host>~<run>~<period>~<random>. Only the run of the
// host that issued its prefix ever sends the order, so its memory alone
// decides the claim, also while the store is down. Nobody claims such a key
// in the table.
const (
	classIssued  = "x"
	issuedFields = 5
)

// issuedKey is a parsed issued key.
type issuedKey struct {
	host   core.HostID
	run    string
	period int64
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
	return issuedKey{host: core.HostID(parts[1]), run: parts[2], period: period}, true
}

// KeyPrefix returns the prefix of keys that this run decides. A caller that
// wants its orders to run during a store outage appends a random part to it,
// and sends the order and its repeats to this host. A prefix is accepted for
// one to two times Config.Period.
func (o *Orders) KeyPrefix() string {
	return strings.Join([]string{classIssued, string(o.cfg.Host), o.run, strconv.FormatInt(o.period(), 10), ""}, "~")
}

func (o *Orders) period() int64 { return int64(o.cfg.Timer.Now() / o.cfg.PrefixPeriod) }

// doIssued runs an order with an issued key.
func (o *Orders) doIssued(ctx context.Context, r Request, k issuedKey, send Send) (Result, error) {
	if k.host != o.cfg.Host || k.run != o.run {
		return o.elsewhere(ctx, r, k)
	}
	for {
		c, earlier, err := o.enterIssued(r, k)
		switch {
		case err != nil:
			return Result{}, err
		case earlier != nil:
			result, again, err := o.awaitRelease(ctx, r, earlier)
			if !again {
				return result, err
			}
		case c == nil:
			return o.decided(ctx, r)
		default:
			return o.runIssued(ctx, r, c, send)
		}
	}
}

func (o *Orders) runIssued(ctx context.Context, r Request, c *call, send Send) (Result, error) {
	if err := o.stillWanted(ctx, r); err != nil {
		o.release(c)
		return Result{}, err
	}
	return o.send(ctx, c, send)
}

// enterIssued claims an issued key in memory. It returns neither a call nor
// an error if the key was claimed before and is not pending any more, or if
// its period is over.
func (o *Orders) enterIssued(r Request, k issuedKey) (c, earlier *call, err error) {
	row := rowKey(r.Workspace, r.Key)
	now := o.period()
	o.mu.Lock()
	defer o.mu.Unlock()
	for period := range o.held {
		if period < now-1 {
			delete(o.held, period)
		}
	}
	if c := o.calls[row]; c != nil {
		return o.meet(r, c)
	}
	hash, claimed := o.held[k.period][row]
	if claimed && hash != r.Hash {
		return nil, nil, mismatch()
	}
	if claimed || k.period < now-1 || k.period > now {
		return nil, nil, nil
	}
	c, err = o.admit(r, row)
	if err != nil {
		return nil, nil, err
	}
	c.state, c.issued, c.period = callClaimed, true, k.period
	if o.held[k.period] == nil {
		o.held[k.period] = make(map[string][32]byte)
	}
	o.held[k.period][row] = r.Hash
	o.stats.Claimed++
	return c, nil, nil
}

// forget drops the claim of an issued key whose order surely did not run.
func (o *Orders) forget(c *call) {
	delete(o.held[c.period], c.row)
	o.finish(c)
}

// mark records that the outcome of an issued key is unknown, so that other
// hosts answer so.
func (o *Orders) mark(c *call) {
	c.state = callMarking
	p := o.claimOp(c)
	p.kind = opMark
	o.push(p)
}

// decided answers from the table for a key that this run does not claim any
// more. An absent row of an old period means that the order never ran: a
// record that is not written yet belongs to a pending call.
func (o *Orders) decided(ctx context.Context, r Request) (Result, error) {
	result, found, err := o.recorded(ctx, r)
	if found || err != nil {
		return result, err
	}
	return Result{}, codes.New(codes.OrderExpired, "order: issued key is not accepted any more")
}

// elsewhere answers for a key that another run decides. Without a record,
// only that run can say that the order has not run.
func (o *Orders) elsewhere(ctx context.Context, r Request, k issuedKey) (Result, error) {
	result, found, err := o.recorded(ctx, r)
	if found {
		return result, err
	}
	claimed, err := false, codes.New(codes.PeerDown, "order: an earlier run of host %s decides the key", k.host)
	if k.host != o.cfg.Host {
		claimed, err = o.peek(ctx, r, k.host, 0, "")
	}
	switch {
	case err != nil:
		return Result{}, codes.Wrap(err, codes.OrderUnknown, "order: host %s, which decides the key, does not answer", k.host)
	case claimed:
		return Result{}, codes.New(codes.OrderRunning, "order: the order was claimed by host %s", k.host)
	default:
		return Result{}, codes.New(codes.OrderNotRun, "order: only host %s runs orders with this key", k.host)
	}
}

// claimedHere reports whether this run has claimed an issued key of its own
// whose record may not be written yet. It fails for keys of other runs, and
// for old ones, whose claims are forgotten.
func (o *Orders) claimedHere(row, key string) (bool, error) {
	k, ok := parseIssued(key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls[row] != nil {
		return true, nil
	}
	if !ok || k.host != o.cfg.Host || k.run != o.run || k.period < o.period()-1 {
		return false, codes.New(codes.PeerRefused, "order: this run does not decide the key")
	}
	_, claimed := o.held[k.period][row]
	return claimed, nil
}

// recorded answers from the row of an issued key, if there is one.
func (o *Orders) recorded(ctx context.Context, r Request) (Result, bool, error) {
	row, err := o.read(ctx, rowKey(r.Workspace, r.Key))
	if err != nil {
		return Result{}, false, codes.Wrap(err, codes.OrderUnknown, "order: record of the order cannot be read")
	}
	if row.Version == 0 {
		return Result{}, false, nil
	}
	result, gone, err := o.answerRow(ctx, r, row)
	return result, !gone, err
}

// defaultPeriod bounds the memory of a run to the keys of two hours.
const defaultPeriod = time.Hour
