package main

import (
	"bufio"
	"sync"
	"syscall"
	"time"
)

func init() { cases[15] = playStop }

const (
	stopClients = 12
	stopAsk     = 2 * time.Second // after SIGTERM, when the clients send their requests
	gracePeriod = 6 * time.Second // gracePeriodS
	stopWatch   = gracePeriod + time.Second
	stopBytes   = 500_000
	stopRate    = 105_000 // bytes a second at which a client reads
)

// playStop stops a host as planned while clients on slow links use it.
func playStop(w *world, trouble bool) (bool, error) {
	if err := w.startServers(4, 16, 100*time.Millisecond); err != nil {
		return false, err
	}
	w.serveDrawings(stopBytes)
	config := usualConfig(newTenant("large", 0, 0, "key-large"))
	config[0].Spec["kind"], config[0].Spec["timeoutS"] = "download", slowTime.Seconds()
	if _, err := w.publish(3, config); err != nil {
		return false, err
	}
	var hosts []*machine
	for _, zone := range []string{"kushiro", "nemuro"} {
		m, err := w.newMachine(zone, true, usualLimits)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, m)
	}
	if err := startAll(hosts...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stopped := hosts[0]
	begin := make(chan struct{})
	var ready, group sync.WaitGroup
	results := make([]stopResult, stopClients)
	for n := range results {
		ready.Add(1)
		group.Go(func() { results[n] = w.askStopping(stopped, ready.Done, begin) })
	}
	ready.Wait()
	term := time.Now()
	if trouble {
		w.note("signal", "SIGTERM to host=%s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		time.AfterFunc(gracePeriod, func() { stopped.signal(syscall.SIGKILL) })
	}
	time.Sleep(stopAsk)
	close(begin)
	group.Wait()
	if trouble {
		time.Sleep(time.Until(term.Add(stopWatch)))
	}
	finished := make(map[string]time.Time)
	for _, a := range w.allRuns() {
		if !a.cancelled {
			finished[a.id] = a.ended
		}
	}
	lost := 0
	for _, r := range results {
		end, ran := finished[r.id]
		isLost := ran && r.err != nil && r.ended.Before(term.Add(stopWatch)) && r.ended.Before(r.sent.Add(slowTime))
		if isLost {
			lost++
		}
		w.note("judge", "id=%s sent %.2f s after SIGTERM, run until %.2f s, connection ended at %.2f s with %d of %d bytes, error=%v, lost=%t", r.id, r.sent.Sub(term).Seconds(), end.Sub(term).Seconds(), r.ended.Sub(term).Seconds(), r.bytes, stopBytes, r.err, isLost)
	}
	w.note("judge", "%d requests were passed on to servers and run, and ended without a complete answer, long before their time limits; none may", lost)
	return lost > 0, nil
}

// stopResult is a request to the host that stops, and how much of its answer arrived.
type stopResult struct {
	id          string
	sent, ended time.Time
	bytes       int
	err         error
}

// askStopping sends a short request, and on the same connection a download once begin is
// closed.
func (w *world) askStopping(to *machine, ready func(), begin <-chan struct{}) (r stopResult) {
	c, err := dialSlow(to.front())
	if err != nil {
		ready()
		return stopResult{err: err}
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 8<<10)
	first := w.ask(c, to, "/lookup/queue", 1)
	_, err = readAnswer(reader, stopRate)
	w.note("answer", "id=%s error=%v", first[0], err)
	ready()
	<-begin
	r.sent = time.Now()
	r.id = w.ask(c, to, "/lookup/drawing", 1)[0]
	r.bytes, r.err = readAnswer(reader, stopRate)
	r.ended = time.Now()
	w.note("answer", "id=%s bytes=%d error=%v", r.id, r.bytes, r.err)
	return r
}
