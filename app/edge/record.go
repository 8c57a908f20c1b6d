package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/picker"
	"azurering/core/proxy"
	"azurering/io/conns"
	"azurering/io/front"
	"azurering/io/logs"
	"azurering/io/metric"
)

// recorder logs requests and counts them in the metrics.
type recorder struct {
	log     logrus.FieldLogger
	metrics *metric.Metrics
	copyAge func() time.Duration // age of the copy of the list of servers
	// configAge is the age of the copy of the operators' table.
	configAge func() time.Duration
	ends      logs.Limiter // lines for connections that ended
	rejects   logs.Limiter // lines for requests that could not be read
}

func newRecorder(cfg Config, m *metric.Metrics, w *clusterState) *recorder {
	return &recorder{log: cfg.Log, metrics: m, copyAge: w.mirrors[core.FeedServers].Age, configAge: w.mirrors[core.FeedOperator].Age}
}

// logRequest writes one log line for a request and counts its outcome.
func (r *recorder) logRequest(c *core.Call, d proxy.AccessRecord, callerLeft bool) {
	servers := make([]string, 0, len(d.Servers))
	for _, s := range d.Servers {
		servers = append(servers, string(s))
	}
	fields := logrus.Fields{
		"event": "request", "id": c.RequestID, "route": d.Route, "workspace": d.Workspace, "service": d.Service,
		"servers": strings.Join(servers, ","), "version": d.Version, "status": d.Status, "code": int(d.Code),
		"held": d.WaitTime.Milliseconds(), "took": d.Duration.Milliseconds(), "object": c.AffinityKey,
	}
	if len(servers) > 0 {
		fields["connect"] = d.ConnectTime.Milliseconds()
		if c.ContentLength != 0 {
			fields["body"], fields["sent"] = c.ContentLength, joinSizes(d.BodySent)
		}
	}
	if age := r.copyAge(); age > oldCopyAge {
		fields["copyage"] = age.Milliseconds()
	}
	if d.RemovedFor > 0 {
		fields["removed"] = d.RemovedFor.Milliseconds()
		r.metrics.CountLapsedUse()
	}
	if d.Limit.Named {
		fields["limit"], fields["limitage"] = d.Limit.PerSecond, d.LimitAge.Milliseconds()
		if len(servers) > 0 {
			r.metrics.CountLimitedRequest()
		}
	}
	if d.PermitBy != "" {
		fields["permitby"], fields["permitwait"] = d.PermitBy, d.PermitWait.Milliseconds()
	}
	if d.PassedOver != "" {
		fields["passed"] = d.PassedOver
	}
	if callerLeft {
		fields["left"] = true
	}
	if d.Code != codes.OK {
		fields["reason"] = d.Reason
		if isDecidedByConfig(d.Code) {
			fields["configage"] = r.configAge().Milliseconds()
		}
		r.metrics.CountRefusal(d.Workspace, d.Code)
	} else {
		r.metrics.RecordRequest(d.Workspace, d.Class, d.Duration, 0)
	}
	r.log.WithFields(fields).Info("edge: request handled")
}

// isDecidedByConfig reports whether the configuration alone makes a request end with a
// code: an old copy of it makes the code wrong.
func isDecidedByConfig(c codes.Code) bool {
	switch c {
	case codes.NoConfig, codes.RouteUnknown, codes.KeyMissing, codes.KeyUnknown:
		return true
	}
	return false
}

// joinSizes formats sizes in bytes for a log line.
func joinSizes(sizes []int64) string {
	text := make([]string, 0, len(sizes))
	for _, n := range sizes {
		text = append(text, strconv.FormatInt(n, 10))
	}
	return strings.Join(text, ",")
}

// logLimit counts and logs a change of a server's limit, or a limit that cannot be
// used.
func (r *recorder) logLimit(c picker.LimitChange) {
	if c.Invalid {
		r.metrics.CountInvalidLimit()
	}
	if c.Frequent {
		return
	}
	log := r.log.WithFields(logrus.Fields{"event": "limit", "server": c.Server, "named": c.New.Named, "limit": c.New.PerSecond, "before": c.Old.PerSecond, "source": limitSource(c)})
	if c.Invalid {
		log.Warn("edge: limit that a server names is no decimal number of 0 or more; what was known stays in force")
		return
	}
	log.Info("edge: limit of a server changed")
}

// limitSource returns where a change was learned, for logs: "server", or the host
// that told of it.
func limitSource(c picker.LimitChange) string {
	if c.Source == "" {
		return "server"
	}
	return string(c.Source)
}

// logLeave counts and logs that a server says that it leaves.
func (r *recorder) logLeave(n picker.LeaveNotice) {
	source := n.Source
	if source == "" {
		source = "server"
	}
	r.metrics.CountLeaveNotice()
	r.log.WithFields(logrus.Fields{"event": "leave", "server": n.Server, "born": n.StartedMs, "source": source}).
		Info("edge: server says that it leaves; it gets no new requests")
}

// logEnd counts the end of a caller's connection, and logs it if the kernel still held
// bytes, since the caller may not receive them.
func (r *recorder) logEnd(e front.End) {
	pending := "none"
	switch {
	case e.PendingErr != nil:
		pending = "unknown"
	case e.Pending.Unacked > 0:
		pending = "unacked"
	case e.Pending.Unread > 0:
		pending = "unread"
	}
	r.metrics.CountConnectionEnd(string(e.Reason), pending)
	if pending == "none" || pending == "unknown" {
		return
	}
	skipped, ok := r.ends.Allow()
	if !ok {
		return
	}
	r.log.WithFields(logrus.Fields{
		"event": "end", "skipped": skipped, "caller": e.Address, "reason": e.Reason, "unread": e.Pending.Unread, "unacked": e.Pending.Unacked,
		"lingered": e.Lingered.Milliseconds(), "age": e.Age.Milliseconds(),
	}).Info("edge: connection of a caller closed with bytes pending")
}

// logRejection counts and logs a request that could not be read.
func (r *recorder) logRejection(e front.Rejection) {
	r.metrics.CountRefusal("", e.Code)
	if skipped, ok := r.rejects.Allow(); ok {
		r.log.WithFields(logrus.Fields{"event": "reject", "caller": e.Address, "code": int(e.Code), "skipped": skipped}).WithError(e.Err).
			Info("edge: request could not be read; it was rejected and its connection closed")
	}
}

// checker runs the health checks that the view requests. view and permit are set
// before the first one.
type checker struct {
	cfg    Config
	state  *clusterState
	pool   *conns.Pool
	view   *picker.Picker
	permit func(context.Context, core.Instance) core.Permit
}

func newChecker(cfg Config, w *clusterState, pool *conns.Pool) *checker {
	return &checker{cfg: cfg, state: w, pool: pool}
}

func (c *checker) check(i core.Instance) {
	path := ""
	if b := c.state.service(i.Service); b != nil {
		path = b.HealthPath
	}
	if path == "" {
		return
	}
	go func() {
		// A check is a request to the server, too. The view requests another one.
		if p := c.permit(context.Background(), i); !p.Granted {
			c.cfg.Log.WithFields(logrus.Fields{"event": "check", "server": i.Name, "permitby": p.By}).Info("edge: health check put off; the server is at its limit")
			return
		}
		healthy, meta, err := c.pool.CheckHealth(context.Background(), i, path)
		log := c.cfg.Log.WithFields(logrus.Fields{"event": "check", "server": i.Name, "healthy": healthy, "cold": meta.WarmupLeft})
		if err != nil {
			log = log.WithError(err)
		}
		log.Info("edge: server health checked")
		c.view.HandleCheck(i, healthy, meta.WarmupLeft)
		if err == nil {
			c.view.RecordLimit(i, meta)
			c.view.RecordLeave(i, meta)
		}
	}()
}
