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
	"sync"
	"time"
)

const (
	// uploadBytes is the size of an order; the desired state permits 67,108,864.
	uploadBytes  = 200_000
	uploadPieces = 20
	uploadGap    = 30 * time.Millisecond
	uploadEvery  = 12 * time.Millisecond
	// Of the servers, crashShare end at once and are back after crashTime, as the site file has it for srv_crash.
	ledgerServers = 20
	crashServers  = 2
	crashTime     = 4500 * time.Millisecond
	crashes       = 6
)

// crashable serves a server on connections that a crash ends all at once.
type crashable struct {
	server *server
	mutex  sync.Mutex
	http   *http.Server
}

func (x *crashable) start() error {
	listener, err := net.Listen("tcp", x.server.address)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: x.server, IdleTimeout: time.Minute}
	x.mutex.Lock()
	x.http = h
	x.mutex.Unlock()
	go func() { _ = h.Serve(listener) }()
	return nil
}

func (x *crashable) crash() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	_ = x.http.Close()
}

// ledger returns a desired state with one route for orders.
func ledger() map[string]any {
	return map[string]any{
		"version": "r5",
		"routes": []any{map[string]any{
			"name": "r-ledger", "host": hostName, "pathPrefix": "/orders/", "kind": "unsafe", "timeout": "4000ms", "aim": "2000ms", "priority": 1,
			"service": "ledger", "maxAttempts": 2, "sticky": false, "homeRegions": []string{},
		}},
		"services": []any{map[string]any{
			"name": "ledger", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 6.4,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// upload sends one order whose body arrives piece by piece, until the answer comes.
func upload(m *machine) *sent {
	q := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), machine: m.name, path: "/orders/1", at: time.Now()}
	defer func() { q.took = time.Since(q.at) }()
	socket, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		q.failure = err.Error()
		return q
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(6 * time.Second))
	done := make(chan struct{})
	go func() {
		body := bytes.Repeat([]byte(q.id+"\n"), uploadBytes/(len(q.id)+1)+1)[:uploadBytes]
		_, _ = fmt.Fprintf(socket, "POST %s HTTP/1.1\r\nHost: %s\r\nEbonyrouter-Request-Id: %s\r\nEbonyrouter-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n",
			q.path, hostName, q.id, uploadBytes)
		for len(body) > 0 {
			n := min(len(body), uploadBytes/uploadPieces)
			if _, err := socket.Write(body[:n]); err != nil {
				return
			}
			body = body[n:]
			select {
			case <-done:
				return
			case <-time.After(uploadGap):
			}
		}
	}()
	defer close(done)
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		q.failure = err.Error()
		return q
	}
	content, _ := io.ReadAll(response.Body)
	q.status, q.body = response.StatusCode, string(content[:min(len(content), 300)])
	if response.Header.Get("Ebonyrouter-Response-Stamp") != "" {
		q.body = "(answer of a server) " + q.body
	}
	return q
}

// crashedUpload lets servers crash while orders with a large body are on their way.
func crashedUpload(w *world) (bool, error) {
	var all []*crashable
	for n := range ledgerServers {
		s, err := w.startServer("ledger", []string{"luzon-makati", "luzon-pasig"}[n%2], 9, 0)
		if err != nil {
			return false, err
		}
		s.handle = func(s *server, w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			n := s.begin(r)
			time.Sleep(20 * time.Millisecond)
			s.finish(n)
			s.succeed(w, r)
		}
		s.stop()
		x := &crashable{server: s}
		if err := x.start(); err != nil {
			return false, err
		}
		w.closers = append(w.closers, x.crash)
		all = append(all, x)
	}
	w.store.put("config", "main", ledger())
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClients(w)
	c.wait.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			m := w.machines[n%len(w.machines)]
			c.wait.Go(func() {
				q := upload(m)
				c.mutex.Lock()
				c.all = append(c.all, q)
				c.mutex.Unlock()
			})
			time.Sleep(uploadEvery)
		}
	})
	for n := range crashes {
		time.Sleep(2 * time.Second)
		hit := all[n*crashServers : (n+1)*crashServers]
		if w.trouble {
			for _, x := range hit {
				w.record.line("%s crashes", x.server.id)
				x.crash()
			}
		}
		time.Sleep(crashTime)
		if w.trouble {
			for _, x := range hit {
				if err := x.start(); err != nil {
					return false, err
				}
			}
		}
	}
	time.Sleep(2 * time.Second)
	cancel()
	c.wait.Wait()
	c.write()
	denied := 0
	counts := map[string]int{}
	for _, q := range c.all {
		key := fmt.Sprint(q.status)
		if q.failure != "" {
			key = "no answer"
		}
		counts[key]++
		if q.status >= 300 && q.status < 500 && q.status != 408 && q.status != 421 && q.status != 429 {
			denied++
		}
	}
	limit := 5 + float64(len(c.all))/500
	w.record.line("%d proper requests, answers by status: %v; ended with a 3xx or 4xx of the machines: %d, permitted %.1f", len(c.all), counts, denied, limit)
	return float64(denied) > limit, nil
}
