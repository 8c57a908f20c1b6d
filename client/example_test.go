package client_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"azurering/client"
)

// A caller places an order. The first answer is "running", so the client
// asks again with the same idempotency key.
func ExampleClient_Do() {
	seen := make(map[string]int)
	var address string
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts" {
			_, _ = fmt.Fprintf(w, `{"lifetime":5,"hosts":[{"address":%q}]}`, address)
			return
		}
		key := r.Header.Get("Idempotency-Key")
		seen[key]++
		if seen[key] == 1 {
			w.Header().Set("Azurering-Run", client.RunRunning)
			w.Header().Set("Azurering-Code", "4002")
			w.WriteHeader(http.StatusConflict)
			return
		}
		w.Header().Set("Azurering-Run", "done")
		_, _ = io.WriteString(w, "job 17")
	}))
	defer entry.Close()
	address = entry.Listener.Addr().String()

	c, err := client.New(client.Config{EntryHosts: []string{address}, Key: "key-of-loft-a"})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, client.Request{
		Service: "loft-desk", Method: http.MethodPost, Path: "/orders", Body: []byte("mend net 4"), AtMostOnce: true,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(string(resp.Body), resp.Attempts, len(seen))
	// Output: job 17 2 1
}
