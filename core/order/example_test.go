package order_test

import (
	"context"
	"fmt"

	"azurering/core/fakes"
	"azurering/core/order"
	"azurering/core/timer"
)

// A repeat of an order gets the recorded answer; the order runs once.
func ExampleOrders() {
	ctx, cancel := context.WithCancel(context.Background())
	orders := order.New(order.Config{Table: &fakes.Table{}, Timer: timer.NewReal(), Host: "entry-1", Incarnation: 1})
	done := make(chan struct{})
	go func() {
		defer close(done)
		orders.Run(ctx)
	}()
	send := func(context.Context) (order.Result, error) {
		fmt.Println("mending the net")
		return order.Result{Status: 201, Body: []byte("job 17")}, nil
	}
	request := order.Request{Workspace: "loft-a", Key: "net-2026-12", Hash: order.Hash("POST", "/orders", []byte("net 4"))}
	for range 2 {
		result, err := orders.Do(ctx, request, send)
		fmt.Println(result.Status, string(result.Body), result.Replayed, err)
	}
	cancel()
	<-done
	// Output:
	// mending the net
	// 201 job 17 false <nil>
	// 201 job 17 true <nil>
}
