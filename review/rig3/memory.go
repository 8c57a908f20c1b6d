package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"azurering/platform/stand"
)

func init() { cases[12] = playMemory }

const (
	crowdHosts   = 2
	crowdClients = 5000 // on each host
	crowdBodies  = 8    // that a client sends behind its first request
	bodyBytes    = 1_000_000
	chunkBytes   = 32 << 10
	slowWork     = 3400 * time.Millisecond // of the first request, an order; the longest of the site is 3480 ms
	crowdPause   = 2 * time.Second         // for which a client stays after it has sent all
	crowdTime    = 95 * time.Second
	restartDelay = 500 * time.Millisecond
	neededEnds   = 3 // on each host
	sampleTime   = 50 * time.Millisecond
)

// smallLimits are those of the smallest machines of the grown sites.
var smallLimits = limits{memoryMb: 184, files: 4100}

// playMemory lets very many clients send bodies in chunks and stop just short of their
// end. The stand-in of the platform ends and restarts a process that takes more memory than
// its machine has.
func playMemory(w *world, trouble bool) (bool, error) {
	if err := w.startServers(3, 100, 30*time.Millisecond); err != nil {
		return false, err
	}
	for _, s := range w.servers {
		s.work = func(r *http.Request) time.Duration {
			if strings.HasSuffix(r.URL.Path, "/slow") {
				return slowWork
			}
			return 30 * time.Millisecond
		}
	}
	if _, err := w.publish(3, usualConfig(newTenant("large", 0, 0, "key-large"))); err != nil {
		return false, err
	}
	var hosts []*machine
	for _, zone := range []string{"kushiro", "nemuro"} {
		m, err := w.newMachine(zone, true, smallLimits)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, m)
	}
	if err := startAll(hosts...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var clients, watches sync.WaitGroup
	ends := make([]int, crowdHosts)
	failures := make([]error, crowdHosts)
	for n, m := range hosts {
		stop := make(chan struct{})
		if trouble {
			w.note("crowd", "host=%s %d clients begin", m.name, crowdClients)
			for range crowdClients {
				clients.Go(func() { w.crowd(m, stop) })
			}
		}
		watches.Go(func() {
			defer close(stop)
			ends[n], failures[n] = w.watchMemory(m, smallLimits.memoryMb<<20)
		})
	}
	watches.Wait()
	clients.Wait()
	broken := true
	for n, m := range hosts {
		w.note("judge", "host=%s was ended %d times for its memory", m.name, ends[n])
		broken = broken && ends[n] >= neededEnds
	}
	w.note("judge", "the day counts for nothing if that happens %d times on each of %d machines", neededEnds, crowdHosts)
	return broken, errors.Join(failures...)
}

// watchMemory ends the process of a machine when it takes more memory than the machine
// has, and starts it again, as the platform does. It returns how often.
func (w *world) watchMemory(m *machine, limit int) (ends int, err error) {
	highest := 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(sampleTime) {
		own, unread, err := m.memory()
		if err != nil {
			return ends, err
		}
		highest = max(highest, own+unread)
		if own+unread <= limit {
			continue
		}
		ends++
		w.note("memory", "host=%s has %d MiB of its own and %d MiB received and not read, of %d MiB: ended", m.name, own>>20, unread>>20, limit>>20)
		m.signal(syscall.SIGKILL)
		<-m.exited
		if ends == neededEnds {
			return ends, nil
		}
		time.Sleep(restartDelay)
		if err := startAll(m); err != nil {
			return ends, err
		}
	}
	w.note("memory", "host=%s had %d MiB at the most", m.name, highest>>20)
	return ends, nil
}

// memory returns what the process of a machine has of its own, without the pages of its
// program file, and what the kernel has received for it and it has not read.
func (m *machine) memory() (own, unread int, err error) {
	pid := m.cmd.Process.Pid
	usage, err := stand.ReadUsage(pid, m.ip)
	if err != nil {
		return 0, 0, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	_, text, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0, 0, errors.New("the status of the process has no RssAnon")
	}
	kb, err := strconv.Atoi(fields[0])
	return kb << 10, usage.Unread, err
}

// crowd is a client that does not behave: behind a request it sends bodies in large chunks
// and stops just short of the end of the last one. It comes again when it has waited.
func (w *world) crowd(to *machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", to.front(), 2*time.Second)
		if err != nil {
			continue
		}
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			sendCrowd(c)
			select {
			case <-stop:
			case <-time.After(crowdPause):
			}
		}()
		select {
		case <-stop:
		case <-sent:
		}
		_ = c.Close()
		<-sent
	}
}

// crowdBody is made once for all clients.
var crowdBody = []byte(strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes)), bodyBytes/chunkBytes))

// sendCrowd sends until all is sent or the connection ends.
func sendCrowd(c net.Conn) {
	head := func(method, path, framing string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key-large\r\n%s\r\n", method, path, siteHost, nextID(), framing)
	}
	if _, err := io.WriteString(c, head("POST", "/order/slow", "Content-Length: 0\r\n")); err != nil {
		return
	}
	for n := range crowdBodies {
		if _, err := io.WriteString(c, head("POST", "/lookup/queue", "Transfer-Encoding: chunked\r\n")); err != nil {
			return
		}
		if _, err := c.Write(crowdBody); err != nil || n == crowdBodies-1 {
			return
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}
