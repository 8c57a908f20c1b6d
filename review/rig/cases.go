package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kinds of requests, named as the routes of the configuration.
const (
	orderPath  = "/pufi791/"
	lookupPath = "/lohu930/"
	fetchPath  = "/pule252/"
)

const (
	orderLimit  = 6 * time.Second
	lookupLimit = 4 * time.Second
	fetchLimit  = 4 * time.Second
	fetchRoute  = 2500 * time.Millisecond // timeoutS of the fetch route
	// answerSlack is the time after a route's timeout from which a request without an
	// answer counts.
	answerSlack = 500 * time.Millisecond
	// leftoverWait is the time after the end of all clients at which the connections
	// that are still open are counted.
	leftoverWait = 8 * time.Second
	smallAnswer  = 5000
	largeAnswer  = 1500 << 10
)

// config is the operator's configuration: one service, a route of each kind, and one
// tenant without a limit.
const config = `{"version":7,"resources":[
{"resourceType":"routes","metadata":{"name":"r-427eya6"},"spec":{"host":"ficu95.example","prefix":"/pufi791/","kind":"non_idempotent","timeoutS":6,"latencyTargetS":0.8,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"homeRegions":[]}},
{"resourceType":"routes","metadata":{"name":"r-puxsr7i"},"spec":{"host":"ficu95.example","prefix":"/lohu930/","kind":"idempotent","timeoutS":4,"latencyTargetS":0.6,"priority":2,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"homeRegions":[]}},
{"resourceType":"routes","metadata":{"name":"r-xe0nnpa"},"spec":{"host":"ficu95.example","prefix":"/pule252/","kind":"download","timeoutS":2.5,"latencyTargetS":0.5,"priority":2,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"homeRegions":[]}},
{"resourceType":"services","metadata":{"name":"huvo11a"},"spec":{"healthPath":"/health","maxConns":390,"protocol":"h1","tls":false,"coldStartS":0.5,"coldPerS":2.5}},
{"resourceType":"tenants","metadata":{"name":"kaje80"},"spec":{"apiKeys":["b9wu3fexd9dnn2ctnfzs"],"priority":1,"ratePerS":0,"burst":0,"homeRegions":[]}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]}`

// orderConfig is config with an order route that is not sticky.
var orderConfig = strings.Replace(config, `"sticky":true`, `"sticky":false`, 1)

// fleet returns a number of servers, spread over the zones.
func fleet(n int, c serverConfig) []serverConfig {
	list := make([]serverConfig, 0, n)
	for i := range n {
		c.id, c.service, c.zone = fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "huvo11a", places[i%len(places)].zone
		list = append(list, c)
	}
	return list
}

// disturb applies faults to the first servers for a time.
func (w *world) disturb(name string, servers int, f faults, after, length time.Duration) {
	time.Sleep(after)
	w.rec.note("trouble", "%s at %d of %d servers for %s", name, servers, len(w.servers), length)
	for _, s := range w.servers[:servers] {
		s.setFaults(f)
	}
	time.Sleep(length)
	for _, s := range w.servers[:servers] {
		s.setFaults(faults{})
	}
	w.rec.note("trouble", "%s is over", name)
}

// disturbAgain applies faults to the first servers several times, with pauses before each.
func (w *world) disturbAgain(name string, servers int, f faults, times int, pause, length time.Duration) {
	for range times {
		w.disturb(name, servers, f, pause, length)
	}
}

// grey is srv_grey (shed) with the dose of the site: a share of 0.14 of the servers
// rejects 0.45 of the requests for 6.5 s.
func (w *world) grey() {
	w.disturb("srv_grey shed x=0.45", 1, faults{shed: 0.45}, 3*time.Second, 6500*time.Millisecond)
}

func longOrder(chunked bool) request {
	return request{
		method: http.MethodPost, path: orderPath, order: true, bodyBytes: 1200<<10 + rand.IntN(800<<10), chunked: chunked,
		answerBytes: smallAnswer, limit: orderLimit,
	}
}

func smallLookup() request {
	return request{method: http.MethodGet, path: lookupPath, answerBytes: smallAnswer, limit: lookupLimit}
}

func smallOrder() request {
	return request{method: http.MethodPost, path: orderPath, order: true, bodyBytes: 4000, answerBytes: smallAnswer, limit: orderLimit}
}

// shedUpload: servers reject long chunked orders, and other servers get them next.
var shedUpload = scenario{
	config: config, servers: fleet(8, serverConfig{slots: 6, queue: 9, work: 60 * time.Millisecond, answerBytes: smallAnswer}),
	play: func(w *world, trouble bool) {
		var group sync.WaitGroup
		if trouble {
			group.Go(w.grey)
		}
		group.Go(func() {
			w.runClients(9, 14*time.Second, 150*time.Millisecond, func() request { return longOrder(true) })
		})
		group.Wait()
	},
	judge: judgeBodies,
}

// earlyAnswer: servers answer long orders before they have read them.
var earlyAnswer = scenario{
	config: config, servers: fleet(8, serverConfig{slots: 6, queue: 9, work: 60 * time.Millisecond, answerBytes: smallAnswer, early: true}),
	play: func(w *world, trouble bool) {
		var group sync.WaitGroup
		if trouble {
			group.Go(w.grey)
		}
		group.Go(func() {
			w.runClients(6, 14*time.Second, 150*time.Millisecond, func() request { return longOrder(false) })
		})
		group.Go(func() { w.runClients(9, 14*time.Second, 30*time.Millisecond, smallLookup) })
		group.Wait()
	},
	judge: judgeForeign,
}

// lateHealth: servers spoil answers, break them off, or send them a second time where
// the next answer is expected.
var lateHealth = scenario{
	config: config, servers: fleet(8, serverConfig{slots: 12, queue: 36, work: 10 * time.Millisecond, answerBytes: smallAnswer}),
	play: func(w *world, trouble bool) {
		const bouts, length, pause = 6, 5 * time.Second, 5 * time.Second
		var group sync.WaitGroup
		if trouble {
			group.Go(func() { w.disturbAgain("garble (extra late) x=0.03", 4, faults{garble: 0.03}, bouts, pause, length) })
		}
		group.Go(func() {
			w.runClients(36, bouts*(length+pause), 4*time.Millisecond, func() request {
				if rand.IntN(3) == 0 {
					return smallOrder()
				}
				return smallLookup()
			})
		})
		group.Wait()
	},
	judge: judgeMixed,
}

// lateShed: as lateHealth, at servers that are often full. Of the answers that they
// garble, those to health checks come a second time, and the others are broken off.
var lateShed = scenario{
	config: orderConfig, servers: fleet(8, serverConfig{slots: 3, queue: 9, work: 6 * time.Millisecond, answerBytes: smallAnswer}),
	play: func(w *world, trouble bool) {
		const bouts, length, pause = 6, 5 * time.Second, 2 * time.Second
		var group sync.WaitGroup
		if trouble {
			group.Go(func() { w.disturbAgain("garble (extra late) x=0.03", 4, faults{checks: 0.03}, bouts, pause, length) })
		}
		group.Go(func() { w.runClients(110, bouts*(length+pause), 2*time.Millisecond, smallOrder) })
		group.Wait()
	},
	judge: judgeTwice,
}

// stalledFetch: servers truncate large answers.
var stalledFetch = scenario{
	config: config, servers: fleet(6, serverConfig{slots: 6, queue: 9, work: 30 * time.Millisecond, answerBytes: largeAnswer}),
	play: func(w *world, trouble bool) {
		const bouts, length, pause = 6, 5 * time.Second, 2 * time.Second
		var group sync.WaitGroup
		if trouble {
			group.Go(func() { w.disturbAgain("garble x=0.02", 3, faults{stall: 0.02}, bouts, pause, length) })
		}
		group.Go(func() {
			w.runClients(15, bouts*(length+pause)+5*time.Second, 100*time.Millisecond, func() request {
				return request{method: http.MethodGet, path: fetchPath, answerBytes: largeAnswer, limit: fetchLimit}
			})
		})
		group.Wait()
		time.Sleep(leftoverWait)
		w.noteConnections()
	},
	judge: judgeTimeouts,
}
