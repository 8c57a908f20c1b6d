// Command order shows at-most-once orders over a fake table: a repeat gets
// the recorded answer, even at another host, and an order with an unclear
// outcome is not sent again.
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
	start := func(name core.HostID) *order.Orders {
		o := order.New(order.Config{
			Table: table, Objects: objects, Peers: net.Peer(name), Timer: timer.NewReal(), Host: name, Incarnation: 1,
			Alive: func(core.HostID, uint64) bool { return true },
		})
		running.Go(func() { o.Run(ctx) })
		return o
	}
	first, second := start("entry-1"), start("entry-2")

	runs := 0
	mend := func(context.Context) (order.Result, error) {
		runs++
		return order.Result{Status: 201, Body: []byte("job 17")}, nil
	}
	net4 := order.Request{Workspace: "loft-a", Key: "net-4", Hash: order.Hash("POST", "/orders", []byte("net 4"))}
	for _, host := range []*order.Orders{first, first, second} {
		result, err := settled(ctx, host, net4, mend)
		fmt.Println(result.Status, string(result.Body), "repeated:", result.Replayed, "error:", err)
	}
	fmt.Println("runs:", runs)

	lost := func(context.Context) (order.Result, error) {
		return order.Result{}, errors.New("connection lost after the request was sent")
	}
	net5 := order.Request{Workspace: "loft-a", Key: "net-5", Hash: order.Hash("POST", "/orders", []byte("net 5"))}
	_, err := first.Do(ctx, net5, lost)
	fmt.Println("unclear outcome:", codes.Is(err, codes.OrderUnknown))
	_, err = settled(ctx, second, net5, mend)
	fmt.Println("its repeat:", codes.Is(err, codes.OrderUnknown), "runs:", runs)

	other := net4
	other.Hash = order.Hash("POST", "/orders", []byte("net 6"))
	_, err = first.Do(ctx, other, mend)
	fmt.Println("same key, other order:", codes.Is(err, codes.OrderMismatch))
	cancel()
	running.Wait()
}

// settled asks again while the order is running, as callers do: another host
// answers so until the outcome is recorded in the table.
func settled(ctx context.Context, host *order.Orders, r order.Request, send order.Send) (order.Result, error) {
	for {
		result, err := host.Do(ctx, r, send)
		if !codes.Is(err, codes.OrderRunning) {
			return result, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}
