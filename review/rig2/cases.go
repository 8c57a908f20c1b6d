package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopBehindPipeline stops hosts in turn while clients pipeline downloads.
func stopBehindPipeline(w *world, trouble bool) ([]string, error) {
	const (
		clients     = 90
		bodyBytes   = 100 << 10
		linkBytes   = 1.25e6 // a second, for each client
		groupPeriod = 600 * time.Millisecond
		stops       = 6
		playTime    = 40 * time.Second
	)
	w.publish(1, route{prefix: "/drawings/", kind: "download", parts: []part{{"archive", 1}}})
	if err := w.servers(12, kind{service: "archive", work: 120 * time.Millisecond, bodyBytes: bodyBytes}); err != nil {
		return nil, err
	}
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	d := &directory{addresses: make(map[string][]string)}
	go d.run(w)
	time.Sleep(500 * time.Millisecond)
	end := time.Now().Add(playTime)
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			domain := domains[i%len(domains)]
			for n := 0; time.Now().Before(end); n++ {
				pipeline(w, d, domain, fmt.Sprintf("%d.%d", i, n), "/drawings/a", bodyBytes, linkBytes, groupPeriod, end)
			}
		})
	}
	var signals []stopSignal
	for n := 0; trouble && n < stops && time.Now().Before(end.Add(-9*time.Second)); n++ {
		h := w.hosts[n%len(w.hosts)]
		signals = append(signals, stopSignal{h.Address(callerPort), time.Now()})
		w.record.logf("SIGTERM to %s", h.Name)
		h.stop(syscall.SIGTERM)
		if err := h.start(); err != nil {
			return nil, err
		}
		if !w.awaitReady(h) {
			return nil, fmt.Errorf("host %s is not ready again", h.Name)
		}
		time.Sleep(time.Second)
	}
	group.Wait()
	if !trouble {
		return cutRequests(w.record), nil
	}
	return cutByStops(w.record, signals), nil
}

// cutRequests returns the requests that were passed on and whose connection ended without
// a whole answer.
func cutRequests(r *record) []string {
	var broken []string
	for _, e := range r.all() {
		if len(e.runs) > 0 && !e.broken && !e.whole && e.end != "" {
			broken = append(broken, fmt.Sprintf("LOST: request %s was run by %v; the connection ended with %q", e.id, e.runs, e.end))
		}
	}
	return broken
}

// pipeline uses one connection until it closes: at random times it sends groups of three
// requests, one right after the other.
func pipeline(w *world, d *directory, domain, name, path string, size int, linkBytes float64, period time.Duration, end time.Time) {
	address := d.pick(domain)
	conn, err := dialDelayed(address, linkBytes)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	c := &client{world: w, name: name, address: address, conn: conn, sizes: map[string]int{path: size}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.readAnswers()
	}()
	for !c.isClosing() && time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(period)))
		if !d.lists(domain, address) { // left by its clients once all is answered
			break
		}
		for range 3 {
			if !c.request(path) {
				break
			}
			time.Sleep(requestGap)
		}
	}
	for !c.idle() && !c.isClosing() {
		time.Sleep(10 * time.Millisecond)
	}
	if !c.isClosing() {
		_ = conn.Close()
	}
	<-done
}

// stopSignal is a SIGTERM to the host at an address.
type stopSignal struct {
	address string
	at      time.Time
}

// cutByStops returns the requests that a planned stop has cut: they were passed on, and
// the connection ended without a whole answer. A request counts if it was sent before
// the last answers were due. It does not count if its server broke off, if its time
// limit was reached, or if its server was still at work in the last sixth of the grace
// period.
func cutByStops(r *record, signals []stopSignal) []string {
	var broken []string
	for _, e := range r.all() {
		if len(e.runs) == 0 || e.broken || e.whole || e.end == "" {
			continue
		}
		for _, s := range signals {
			over := s.at.Add(gracePeriod + time.Second)
			inTime := !e.ranEnd.IsZero() && e.ranEnd.Before(s.at.Add(gracePeriod*5/6)) && e.endAt.Before(e.sent.Add(deadlineMs*time.Millisecond))
			if s.address == e.host && e.sent.Before(over) && e.ranEnd.After(s.at) && inTime {
				broken = append(broken, fmt.Sprintf("LOST: request %s was sent at %s s and run by %v until %s s; status %d began, the connection ended at %s s with %q; SIGTERM at %s s",
					e.id, r.seconds(e.sent), e.runs, r.seconds(e.ranEnd), e.status, r.seconds(e.endAt), e.end, r.seconds(s.at)))
				break
			}
		}
	}
	return broken
}

// brokenAnswerBeforeOthers lets servers break off large answers, behind which clients
// have pipelined requests to sound servers.
func brokenAnswerBeforeOthers(w *world, trouble bool) ([]string, error) {
	const (
		clients    = 30
		largeBytes = 1536 << 10
		smallBytes = 1500
		linkBytes  = 20e6
		playTime   = 18 * time.Second
		garbleFor  = 5 * time.Second
		breakNth   = 50 // 0.02 of the answers
	)
	w.publish(1, route{prefix: "/drawings/", kind: "download", parts: []part{{"archive", 1}}}, route{prefix: "/queue/", kind: "idempotent", parts: []part{{"desk", 1}}})
	if err := w.servers(6, kind{service: "archive", work: 100 * time.Millisecond, bodyBytes: largeBytes, breakNth: breakNth}); err != nil {
		return nil, err
	}
	if err := w.servers(6, kind{service: "desk", work: 50 * time.Millisecond, bodyBytes: smallBytes}); err != nil {
		return nil, err
	}
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	end := time.Now().Add(playTime)
	if trouble {
		for _, at := range []time.Duration{3 * time.Second, 11 * time.Second} {
			time.AfterFunc(at, func() {
				w.garbling.Store(true)
				w.record.logf("half of the servers of archive break off each %dth answer", breakNth)
			})
			time.AfterFunc(at+garbleFor, func() {
				w.garbling.Store(false)
				w.record.logf("all servers are sound")
			})
		}
	}
	sizes := map[string]int{"/drawings/a": largeBytes, "/queue/a": smallBytes}
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				address := w.hosts[i%len(w.hosts)].Address(callerPort)
				conn, err := dialDelayed(address, linkBytes)
				if err != nil {
					continue
				}
				c := &client{world: w, name: fmt.Sprintf("%d.%d", i, n), address: address, conn: conn, sizes: sizes}
				done := make(chan struct{})
				go func() {
					defer close(done)
					c.readAnswers()
				}()
				for !c.isClosing() && time.Now().Before(end) {
					c.request("/drawings/a")
					for range 3 {
						time.Sleep(requestGap)
						c.request("/queue/a")
					}
					for !c.idle() && !c.isClosing() {
						time.Sleep(10 * time.Millisecond)
					}
				}
				if !c.isClosing() {
					_ = conn.Close()
				}
				<-done
			}
		})
	}
	group.Wait()
	var broken []string
	for _, e := range w.record.all() {
		if e.path == "/queue/a" && len(e.runs) > 0 && !e.whole && e.end != "" && !e.ranEnd.IsZero() {
			broken = append(broken, fmt.Sprintf("LOST: request %s was run by the sound server %v until %s s; the host closed its connection without an answer (%s)",
				e.id, e.runs, w.record.seconds(e.ranEnd), e.end))
		}
	}
	if len(broken) <= 3 { // the rule allows three
		return nil, nil
	}
	return broken, nil
}

// weightOfZero takes a service out of routes by a weight of 0, and sends requests on
// them long after the change must be in force.
func weightOfZero(w *world, trouble bool) ([]string, error) {
	const (
		routes      = 20
		before      = 3 // requests for each route and host before the change
		configApply = 2 * time.Second
		pause       = 6 * time.Second
		bodyBytes   = 1500
		oldWeight   = 75
		newWeight   = 25
	)
	config := func(version int, weight float64) {
		list := make([]route, 0, routes)
		for i := range routes {
			list = append(list, route{prefix: fmt.Sprintf("/r%d/", i), kind: "idempotent", parts: []part{{"old", weight}, {"new", newWeight}}})
		}
		w.publish(version, list...)
	}
	config(1, oldWeight)
	for _, service := range []string{"old", "new"} {
		if err := w.servers(4, kind{service: service, work: 20 * time.Millisecond, bodyBytes: bodyBytes}); err != nil {
			return nil, err
		}
	}
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	ask := func(n int) error {
		for _, h := range w.hosts {
			for i := range routes {
				if err := w.askInTurn(h, fmt.Sprintf("/r%d/a", i), n, bodyBytes); err != nil {
					return err
				}
			}
		}
		return nil
	}
	if err := ask(before); err != nil {
		return nil, err
	}
	var confirmed time.Time
	if trouble {
		config(2, 0)
		confirmed = time.Now()
		w.record.logf("config 2: the weight of service old is 0")
	}
	time.Sleep(pause)
	if err := ask(before); err != nil {
		return nil, err
	}
	var broken []string
	if !trouble {
		for _, e := range w.record.all() {
			if !e.whole || e.status != http.StatusOK || e.note != "" {
				broken = append(broken, fmt.Sprintf("request %s: status %d, whole %t, %s", e.id, e.status, e.whole, e.note))
			}
		}
		return broken, nil
	}
	for _, e := range w.record.all() {
		if !e.sent.After(confirmed.Add(configApply)) {
			continue
		}
		for _, s := range e.runs {
			if len(s) > 5 && s[:5] == "i-old" {
				broken = append(broken, fmt.Sprintf("CONFIG: request %s on %s was sent to %s %.1f s after the confirmation of config 2 and run by %s",
					e.id, e.path, e.host, e.sent.Sub(confirmed).Seconds(), s))
			}
		}
	}
	return broken, nil
}

// askInTurn sends requests one after the other on a connection of their own.
func (w *world) askInTurn(h *host, path string, n, size int) error {
	conn, err := dialDelayed(h.Address(callerPort), 1e8)
	if err != nil {
		return err
	}
	c := &client{world: w, name: h.Name + path, address: h.Address(callerPort), conn: conn, sizes: map[string]int{path: size}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.readAnswers()
	}()
	for range n {
		c.request(path)
		for !c.idle() && !c.isClosing() {
			time.Sleep(time.Millisecond)
		}
	}
	_ = conn.Close()
	<-done
	return nil
}
