package edge

import (
	"context"
	"strings"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/picker"
	"azurering/core/proxy"
	"azurering/io/conns"
	"azurering/io/metric"
)

// recorder logs requests and counts them in the metrics.
type recorder struct {
	log     logrus.FieldLogger
	metrics *metric.Metrics
}

func newRecorder(cfg Config, m *metric.Metrics) *recorder { return &recorder{log: cfg.Log, metrics: m} }

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
	}
	if d.RemovedFor > 0 {
		fields["removed"] = d.RemovedFor.Milliseconds()
		r.metrics.CountLapsedUse()
	}
	if callerLeft {
		fields["left"] = true
	}
	if d.Code != codes.OK {
		fields["reason"] = d.Reason
		r.metrics.CountRefusal(d.Workspace, d.Code)
	} else {
		r.metrics.RecordRequest(d.Workspace, d.Class, d.Duration, 0)
	}
	r.log.WithFields(fields).Info("edge: request handled")
}

// checker runs the health checks that the view requests.
type checker struct {
	cfg   Config
	state *clusterState
	pool  *conns.Pool
	view  *picker.Picker
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
		healthy, meta, err := c.pool.CheckHealth(context.Background(), i, path)
		log := c.cfg.Log.WithFields(logrus.Fields{"event": "check", "server": i.Name, "healthy": healthy, "cold": meta.WarmupLeft})
		if err != nil {
			log = log.WithError(err)
		}
		log.Info("edge: server health checked")
		c.view.HandleCheck(i, healthy, meta.WarmupLeft)
	}()
}
