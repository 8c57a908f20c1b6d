// Command lookup shows a look-up and a request with package client. Two
// small HTTP handlers on loopback stand for entry hosts; the first one is
// leaving.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"azurering/client"
)

func main() {
	if err := run(); err != nil {
		fmt.Println("error:", err)
	}
}

func run() error {
	var first, second *httptest.Server
	hosts := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"lifetime":10,"hosts":[{"address":%q},{"address":%q}]}`,
			first.Listener.Addr(), second.Listener.Addr())
	}
	leaving := http.NewServeMux()
	leaving.HandleFunc("/v1/hosts", hosts)
	leaving.HandleFunc("/s/loft-desk/queue", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Azurering-Code", "5005")
		w.Header().Set("Azurering-Run", client.RunNone)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	live := http.NewServeMux()
	live.HandleFunc("/v1/hosts", hosts)
	live.HandleFunc("/s/loft-desk/queue", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Azurering-Run", client.RunDone)
		_, _ = io.WriteString(w, "3 nets wait")
	})
	first, second = httptest.NewServer(leaving), httptest.NewServer(live)
	defer first.Close()
	defer second.Close()

	c, err := client.New(client.Config{EntryHosts: []string{first.Listener.Addr().String()}, Key: "key-of-loft-a"})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	fmt.Println("hosts for loft-desk:", len(c.EntryHosts(ctx, "loft-desk")))
	resp, err := c.Do(ctx, client.Request{Service: "loft-desk", Path: "/queue"})
	if err != nil {
		return err
	}
	fmt.Printf("status %d after %d attempts: %s\n", resp.Status, resp.Attempts, resp.Body)
	fmt.Println("answered by the second host:", resp.Host == second.Listener.Addr().String())
	return nil
}
