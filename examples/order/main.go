// Command order shows at-most-once orders on an in-memory table: a repeated
// order gets the recorded answer, even from another host, and an order whose
// outcome is unknown is not sent again.
package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/order"
	"azurering/core/timer"
)

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	table, objects, net := &fakes.Table{}, &fakes.Objects{}, &fakes.Network{}
	newHost := func(name core.HostID) *order.Orders {
		o := order.New(order.Config{
			Table: table, Objects: objects, Peers: net.Peer(name), Timer: timer.NewReal(), Host: name, Incarnation: 1,
			Alive: func(core.HostID, uint64) bool { return true },
		})
		running.Go(func() { o.Run(ctx) })
		return o
	}
	first, second := newHost("entry-1"), newHost("entry-2")

	runs := 0
	createJob := func(context.Context) (order.Result, error) {
		runs++
		return order.Result{Status: 201, Body: []byte("job 17")}, nil
	}
	request := order.Request{Workspace: "loft-a", Key: "net-4", Hash: order.Hash("POST", "/orders", []byte("net 4"))}
	for _, host := range []*order.Orders{first, first, second} {
		result, err := doUntilSettled(ctx, host, request, createJob)
		fmt.Println(result.Status, string(result.Body), "repeated:", result.Replayed, "error:", err)
	}
	fmt.Println("runs:", runs)

	loseAnswer := func(context.Context) (order.Result, error) {
		return order.Result{}, errors.New("connection lost after the request was sent")
	}
	unclearRequest := order.Request{Workspace: "loft-a", Key: "net-5", Hash: order.Hash("POST", "/orders", []byte("net 5"))}
	_, err := first.Do(ctx, unclearRequest, loseAnswer)
	fmt.Println("unclear outcome:", codes.Is(err, codes.OrderUnknown))
	_, err = doUntilSettled(ctx, second, unclearRequest, createJob)
	fmt.Println("its repeat:", codes.Is(err, codes.OrderUnknown), "runs:", runs)

	mismatch := request
	mismatch.Hash = order.Hash("POST", "/orders", []byte("net 6"))
	_, err = first.Do(ctx, mismatch, createJob)
	fmt.Println("same key, other order:", codes.Is(err, codes.OrderMismatch))
	cancel()
	running.Wait()
}

// doUntilSettled repeats an order while the answer is codes.OrderRunning, as
// callers do. A host that did not send the order itself returns this code
// until the outcome is recorded in the table.
func doUntilSettled(ctx context.Context, host *order.Orders, r order.Request, send order.Send) (order.Result, error) {
	for {
		result, err := host.Do(ctx, r, send)
		if !codes.Is(err, codes.OrderRunning) {
			return result, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}
