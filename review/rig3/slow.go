package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[14] = playSlow }

const (
	downloadBytes = 540_000 // the largest answer of the sites
	slowRate      = 200_000 // bytes a second at which a client reads
	slowWindow    = 48 << 10
	slowTime      = 6 * time.Second // that a client waits for an answer
	usualClients  = 20
	burstClients  = 34                     // 1.7 times as many
	slowStagger   = 170 * time.Millisecond // between the beginnings of two clients
	slowRounds    = 4
	slowPipeline  = 2 // requests that a client sends at once
)

// playSlow lets clients on slow links download, and in a burst more of them.
func playSlow(w *world, trouble bool) (bool, error) {
	if err := w.startServers(4, 16, 100*time.Millisecond); err != nil {
		return false, err
	}
	w.serveDrawings(downloadBytes)
	config := usualConfig(newTenant("large", 0, 0, "key-large"))
	config[0].Spec["kind"], config[0].Spec["timeoutS"] = "download", slowTime.Seconds()
	if _, err := w.publish(3, config); err != nil {
		return false, err
	}
	m, err := w.newMachine("kushiro", true, usualLimits)
	if err != nil {
		return false, err
	}
	if err := startAll(m); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	clients := usualClients
	if trouble {
		clients = burstClients
	}
	var group sync.WaitGroup
	all := make([][]download, clients)
	for n := range all {
		group.Go(func() {
			time.Sleep(time.Duration(n) * slowStagger)
			all[n] = w.readSlowly(m)
		})
	}
	group.Wait()
	finished := make(map[string]bool)
	for _, a := range w.allRuns() {
		finished[a.id] = !a.ended.IsZero() && !a.cancelled
	}
	whole, brokenOff, none := 0, 0, 0
	for _, list := range all {
		for _, d := range list {
			switch {
			case d.err == nil:
				whole++
			case d.bytes > 0:
				brokenOff++
			case finished[d.id]:
				none++
			}
		}
	}
	w.note("judge", "clients=%d: %d answers arrived whole, %d broke off midway; %d requests were passed on and run, and their connections were closed without a byte of an answer, at most 3 may be", clients, whole, brokenOff, none)
	return none > 3, nil
}

// serveDrawings makes the servers answer requests for drawings with a number of bytes.
func (w *world) serveDrawings(bytes int) {
	content := []byte(strings.Repeat("0123456789", bytes/10))
	for _, s := range w.servers {
		s.body = func(r *http.Request) []byte {
			if strings.HasSuffix(r.URL.Path, "/drawing") {
				return content
			}
			return content[:100]
		}
	}
}

// download is a request and how much of its answer arrived.
type download struct {
	id    string
	bytes int
	err   error
}

// readSlowly sends a short request and then, slowRounds times, slowPipeline downloads at
// once, all on one connection unless it is closed. It reads at slowRate without a pause.
func (w *world) readSlowly(to *machine) (list []download) {
	for range slowRounds {
		c, err := dialSlow(to.front())
		if err != nil {
			return list
		}
		reader := bufio.NewReaderSize(c, 8<<10)
		first := w.ask(c, to, "/lookup/queue", 1)
		_, err = readAnswer(reader, slowRate)
		w.note("answer", "id=%s error=%v", first[0], err)
		for err == nil && len(list) < slowRounds*slowPipeline {
			ids := w.ask(c, to, "/lookup/drawing", slowPipeline)
			for _, id := range ids {
				d := download{id: id, err: err}
				if err == nil {
					d.bytes, err = readAnswer(reader, slowRate)
					d.err = err
				}
				list = append(list, d)
				w.note("answer", "id=%s bytes=%d error=%v", id, d.bytes, d.err)
			}
		}
		_ = c.Close()
	}
	return list
}

// dialSlow opens a connection with a small receive window.
func dialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowWindow)
		}); e != nil {
			return e
		}
		return err
	}}
	return d.Dial("tcp", address)
}

// ask sends a number of requests at once and returns their ids.
func (w *world) ask(c net.Conn, to *machine, path string, n int) []string {
	var text strings.Builder
	ids := make([]string, n)
	for i := range ids {
		ids[i] = nextID()
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-large\r\n\r\n", path, siteHost, ids[i], slowTime.Milliseconds())
	}
	_, err := io.WriteString(c, text.String())
	w.note("send", "ids=%s host=%s GET %s from %s, error=%v", strings.Join(ids, ","), to.name, path, c.LocalAddr(), err)
	return ids
}

// readAnswer reads an answer at a rate in bytes a second and returns the bytes of its body.
func readAnswer(r *bufio.Reader, rate int) (total int, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, err = io.Copy(io.Discard, resp.Body)
		return 0, err
	}
	buffer, begin := make([]byte, 5_000), time.Now()
	for err == nil {
		var n int
		n, err = resp.Body.Read(buffer)
		total += n
		time.Sleep(time.Until(begin.Add(time.Duration(total) * time.Second / time.Duration(rate))))
	}
	if err == io.EOF {
		err = nil
	}
	return total, err
}
