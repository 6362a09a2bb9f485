package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimitKB is the limit of the settings file, 284 MB, beyond which the platform kills a process.
	memoryLimitKB = 284 * 1024
	// restartDelay is the time after which the platform starts a process that has ended again.
	restartDelay = 200 * time.Millisecond
	// headBytes is the size of the head with which a server in trouble begins, and bodyBytes what follows at once.
	headBytes = 63_000
	bodyBytes = 40_000
	// endlessServers is the number of servers in each of two regions, endlessRate the requests a second to each machine.
	endlessServers = 19
	endlessRate    = 150
	// endsWanted is the number of ends on each machine that the rule names.
	endsWanted = 3
	// The servers of the service are in trouble for troubleTime, troubles times.
	troubles    = 3
	troubleTime = 6500 * time.Millisecond
	calmTime    = 5 * time.Second
)

// manyLines returns header lines with short names that differ.
func manyLines() []byte {
	var out bytes.Buffer
	for n := 0; out.Len() < headBytes; n++ {
		fmt.Fprintf(&out, "%s:\n", strconv.FormatInt(int64(n), 36))
	}
	return out.Bytes()
}

// residentKB returns the memory of a process, without what the kernel holds for its sockets.
func residentKB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb
		}
	}
	return 0
}

// guardMemory acts as the platform: it kills a process beyond its memory limit and starts it again. It counts the ends until ctx ends.
func (m *machine) guardMemory(ctx context.Context) (ends, peak int) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		kb := residentKB(m.process.Process.Pid)
		peak = max(peak, kb)
		if kb <= memoryLimitKB && m.running() {
			continue
		}
		ends++
		m.world.record.line("%s exceeds its memory limit with %d kB of %d and is killed, end %d", m.name, kb, memoryLimitKB, ends)
		m.end()
		time.Sleep(restartDelay)
		if ctx.Err() != nil || m.start() != nil {
			break
		}
	}
	return ends, peak
}

// fetch sends a safe request and reads the answer to its end.
func fetch(m *machine, counts map[string]int, mutex *sync.Mutex) {
	note := func(text string) {
		mutex.Lock()
		defer mutex.Unlock()
		counts[text]++
	}
	socket, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		note("no connection")
		return
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(12 * time.Second))
	_, _ = fmt.Fprintf(socket, "GET /reads/1 HTTP/1.1\r\nHost: %s\r\nEbonyrouter-Request-Id: %016x\r\nEbonyrouter-Deadline-Ms: 12000\r\n\r\n", hostName, rand.Uint64())
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		note("no answer")
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		note(fmt.Sprintf("%d, broken off", response.StatusCode))
		return
	}
	note(fmt.Sprint(response.StatusCode))
}

// endless lets the servers of a service answer without end.
func endless(w *world) (bool, error) {
	var mutex sync.Mutex
	active := false
	lines := manyLines()
	for n := range 2 * endlessServers {
		s, err := w.startServer("reads", []string{"luzon-makati", "visayas-mandaue"}[n%2], 9, 300*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.handle = func(s *server, w http.ResponseWriter, r *http.Request) {
			mutex.Lock()
			trouble := active
			mutex.Unlock()
			if !trouble {
				s.serve(w, r)
				return
			}
			socket, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = socket.Close() }()
			id := r.Header.Get("Ebonyrouter-Request-Id")
			_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\nEbonyrouter-Request-Id: %s\r\nEbonyrouter-Response-Stamp: %s.%s\r\n", id, s.id, id)
			_, _ = socket.Write(lines)
			_, err = socket.Write(append([]byte("\r\n"), bytes.Repeat([]byte("x"), bodyBytes)...))
			for ; err == nil; time.Sleep(50 * time.Millisecond) {
				_, err = socket.Write([]byte("x"))
			}
		}
	}
	w.store.put("config", "main", map[string]any{
		"version": "r5",
		"routes": []any{map[string]any{
			"name": "r-reads", "host": hostName, "pathPrefix": "/reads/", "kind": "safe", "timeout": "4000ms", "aim": "1500ms", "priority": 1,
			"service": "reads", "maxAttempts": 2, "sticky": false, "homeRegions": []string{},
		}},
		"services": []any{map[string]any{
			"name": "reads", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 6.4,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counts := map[string]int{}
	ends, peaks := make([]int, 2), make([]int, 2)
	var guards, clients sync.WaitGroup
	for n, zone := range []string{"luzon-makati", "visayas-mandaue"} {
		m, err := w.startMachine(zone, nil)
		if err != nil {
			return false, err
		}
		if err := m.awaitReady(); err != nil {
			return false, err
		}
		guards.Go(func() { ends[n], peaks[n] = m.guardMemory(ctx) })
		clients.Go(func() {
			for ctx.Err() == nil {
				clients.Go(func() { fetch(m, counts, &mutex) })
				time.Sleep(time.Second / endlessRate)
			}
		})
	}
	time.Sleep(contact + time.Second)
	for range troubles {
		mutex.Lock()
		active = w.trouble
		w.record.line("servers in trouble: %v; answers until now: %v", active, counts)
		mutex.Unlock()
		time.Sleep(troubleTime)
		mutex.Lock()
		active = false
		mutex.Unlock()
		time.Sleep(calmTime)
	}
	cancel()
	guards.Wait()
	clients.Wait()
	broken := true
	for n, m := range w.machines {
		w.record.line("%s: ended %d times, peak memory %d kB of %d", m.name, ends[n], peaks[n], memoryLimitKB)
		broken = broken && ends[n] >= endsWanted
	}
	w.record.line("answers: %v", counts)
	return broken, nil
}
