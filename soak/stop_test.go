package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/platform/stand"
)

// lateOrder is an order that a caller sends on a connection that it has kept.
type lateOrder struct {
	id       string
	sentAt   time.Duration // of its last byte, after the stop began
	answered bool
	status   int
}

// sendLate sends an order on a connection of its own that is open already: the head
// after a time, and the body after a further time. It reads the answer.
func (o *lateOrder) sendLate(conn net.Conn, began time.Time, head, body time.Duration) {
	defer func() { _ = conn.Close() }()
	time.Sleep(time.Until(began.Add(head)))
	_, _ = fmt.Fprintf(conn, "POST /long/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\n",
		hostName, o.id, apiKey("large", 1))
	time.Sleep(body)
	_, _ = io.WriteString(conn, "body") // an error shows up in the answer
	o.sentAt = time.Since(began)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	got, err := stand.ReadResponse(resp)
	o.answered, o.status = err == nil, got.Status
}

// Guards against orders that a host passes on during its stop, and that it then cuts
// at the end of the grace period without an answer: callers cannot tell whether
// they ran, and cannot repeat them. That includes orders whose bodies arrive late.
func TestStopCutsNoOrderThatItHasPassedOn(t *testing.T) {
	const work = 3500 * time.Millisecond // more than is left of the grace period when the host takes no more requests
	c := newCluster(t, buildBinary(t), 1)
	c.awaitReady()
	h := c.hosts[0]
	c.mu.Lock()
	c.rules.Version += 10
	c.rules.Routes = append(c.rules.Routes, stand.Route{
		Name: "long", Host: hostName, Prefix: "/long/", Kind: "non_idempotent", Service: "desk", Timeout: 20 * time.Second, LatencyTarget: 10 * time.Second, MaxAttempts: 1,
	})
	c.store.Publish(c.rules)
	c.mu.Unlock()
	c.awaitService()
	for _, b := range c.runningBackends() {
		b.SetProcessingTime(work)
	}
	conns := make([]net.Conn, 30)
	for i := range conns {
		var err error
		conns[i], err = net.Dial("tcp", h.Address(callerPort))
		require.NoError(t, err)
	}
	time.Sleep(time.Second) // for the route
	orders := make([]*lateOrder, len(conns))
	began := time.Now()
	var all sync.WaitGroup
	all.Go(func() { h.terminate(syscall.SIGTERM) })
	for i, conn := range conns {
		orders[i] = &lateOrder{id: fmt.Sprint("late-", i)}
		head, body := time.Duration(i+1)*gracePeriod/time.Duration(len(conns)), time.Duration(0)
		if i%3 == 0 {
			head, body = head/3, head*2/3
		}
		all.Go(func() { orders[i].sendLate(conn, began, head, body) })
	}
	all.Wait()
	arrived := make(map[string]bool)
	for _, a := range c.ledger.Arrivals() {
		arrived[a.ID] = true
	}
	refused := 0
	for _, o := range orders {
		require.True(t, o.answered || !arrived[o.id], "%s, sent %s after the stop began, was passed on and got no answer", o.id, o.sentAt)
		if o.status == http.StatusServiceUnavailable {
			refused++
			require.False(t, arrived[o.id], "%s was refused and passed on", o.id)
		}
	}
	require.Positive(t, refused, "orders that come during the stop are refused, so that callers can go elsewhere")
}
