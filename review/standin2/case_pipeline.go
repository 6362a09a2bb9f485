package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// exportBytes is below the largest body of the class archive-export in the site file of quetzal-thumbs-grown, 540,000.
	exportBytes = 500_000
	// depth is the number of requests that a client sends before the first answer.
	depth = 6
	// Of the servers, breakShare break off breakPart of their answers while the disturbance lasts, as the site files have it for garble.
	breakShare = 0.35
	breakPart  = 0.02
	breakTime  = 5500 * time.Millisecond
)

// exports returns a desired state with one route for downloads.
func exports() map[string]any {
	return map[string]any{
		"version": "r5",
		"routes": []any{map[string]any{
			"name": "r-export", "host": hostName, "pathPrefix": "/export/", "kind": "download", "timeout": "4000ms", "aim": "600ms", "priority": 1,
			"service": "export", "maxAttempts": 2, "sticky": false, "homeRegions": []string{},
		}},
		"services": []any{map[string]any{
			"name": "export", "healthPath": "/health", "maxConns": 1590, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 6.4,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// pipelined is one request of a client that sends several before the first answer.
type pipelined struct {
	id       string
	sentAt   time.Time
	answered bool
	note     string
}

// exportServers are the servers of a case and the ids of the requests whose answers they broke off, or sent in full.
type exportServers struct {
	mutex    sync.Mutex
	broken   map[string]bool
	complete map[string]bool
	faulty   map[*server]bool
	// sound holds the requests that servers ran which the disturbance never touches.
	sound  map[string]bool
	active bool
}

func (x *exportServers) handle(s *server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Ebonyrouter-Request-Id")
	n := s.begin(r)
	time.Sleep(time.Duration(50+rand.N(150)) * time.Millisecond)
	s.finish(n)
	body := bytes.Repeat([]byte(id+"\n"), exportBytes/(len(id)+1)+1)[:exportBytes]
	x.mutex.Lock()
	x.sound[id] = !x.faulty[s]
	breaks := x.active && x.faulty[s] && rand.Float64() < breakPart
	if breaks {
		x.broken[id] = true
	}
	x.mutex.Unlock()
	w.Header().Set("Ebonyrouter-Response-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if breaks {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(body); err == nil {
		x.mutex.Lock()
		x.complete[id] = true
		x.mutex.Unlock()
	}
}

// burst sends depth requests on a connection and reads the answers. It returns the connection if it may be used again.
func burst(m *machine, socket net.Conn) ([]*pipelined, net.Conn) {
	var all []*pipelined
	if socket == nil {
		var err error
		if socket, err = net.DialTimeout("tcp", m.front(), time.Second); err != nil {
			return nil, nil
		}
	}
	var out strings.Builder
	for range depth {
		p := &pipelined{id: fmt.Sprintf("%016x", rand.Uint64())}
		all = append(all, p)
		_, _ = fmt.Fprintf(&out, "GET /export/%s HTTP/1.1\r\nHost: %s\r\nEbonyrouter-Request-Id: %s\r\nEbonyrouter-Deadline-Ms: 4000\r\n\r\n", p.id, hostName, p.id)
	}
	now := time.Now()
	for _, p := range all {
		p.sentAt = now
	}
	_ = socket.SetDeadline(now.Add(5 * time.Second))
	if _, err := io.WriteString(socket, out.String()); err != nil {
		_ = socket.Close()
		return all, nil
	}
	reader := bufio.NewReader(socket)
	for _, p := range all {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			p.note = "no answer: " + err.Error()
			_ = socket.Close()
			return all, nil
		}
		p.answered = true
		n, err := io.Copy(io.Discard, response.Body)
		p.note = fmt.Sprintf("%d with %d bytes", response.StatusCode, n)
		if err != nil {
			p.note += " " + err.Error()
			_ = socket.Close()
			return all, nil
		}
		if response.Close {
			_ = socket.Close()
			return all, nil
		}
	}
	return all, socket
}

// heldPipeline lets servers break off a few answers while clients send several requests before the first answer.
func heldPipeline(w *world) (bool, error) {
	x := &exportServers{broken: map[string]bool{}, complete: map[string]bool{}, faulty: map[*server]bool{}, sound: map[string]bool{}}
	for n := range 20 {
		s, err := w.startServer("export", []string{"luzon-makati", "luzon-pasig"}[n%2], 9, 0)
		if err != nil {
			return false, err
		}
		s.handle = x.handle
		x.faulty[s] = float64(n) < 20*breakShare
	}
	w.store.put("config", "main", exports())
	for _, zone := range []string{"luzon-makati", "luzon-pasig"} {
		m, err := w.startMachine(zone, nil)
		if err != nil {
			return false, err
		}
		if err := m.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	var mutex sync.Mutex
	var all []*pipelined
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 16 {
		m := w.machines[n%len(w.machines)]
		wait.Go(func() {
			var socket net.Conn
			for {
				select {
				case <-stop:
					if socket != nil {
						_ = socket.Close()
					}
					return
				case <-time.After(50 * time.Millisecond):
				}
				var sent []*pipelined
				sent, socket = burst(m, socket)
				mutex.Lock()
				all = append(all, sent...)
				mutex.Unlock()
			}
		})
	}
	for n := range 5 {
		time.Sleep(3 * time.Second)
		x.mutex.Lock()
		x.active = w.trouble
		x.mutex.Unlock()
		w.record.line("disturbance %d begins: %v", n+1, w.trouble)
		time.Sleep(breakTime)
		x.mutex.Lock()
		x.active = false
		x.mutex.Unlock()
		w.record.line("disturbance %d ends", n+1)
	}
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
	runs := w.servedBy()
	lost, answered := 0, 0
	for _, p := range all {
		state := "not passed on"
		switch {
		case x.broken[p.id]:
			state = "its answer was broken off"
		case len(runs[p.id]) > 0:
			state = "run"
		}
		if p.answered {
			answered++
		} else if x.sound[p.id] {
			lost++
			state += ", LOST"
		}
		w.record.line("request %s sent at %s: %s; %s", p.id, w.record.at(p.sentAt), p.note, state)
	}
	w.record.line("%d requests, %d answered, %d answers broken off; passed on to a sound server, and the connection closed without an answer: %d",
		len(all), answered, len(x.broken), lost)
	return lost > 3, nil
}
