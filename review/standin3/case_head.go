package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["head"] = caseHead }

const (
	// headTargets and headSeconds are the numbers of targets of two services, of which every second one is in trouble, and headSlots the
	// slots of each: a region's third of those of the services clasificacion and pareos of the site tablero-comun-grown.
	headTargets = 56
	headSeconds = 78
	headSlots   = 6
	// headRate and headSecondRate are the numbers of requests per second for the services to each of the two hosts, half of a region's
	// third of those of the sheet. A round of requests lasts headRound, and there are headRounds.
	headRate       = 157
	headSecondRate = 80
	headRound      = 8 * time.Second
	headRounds     = 5
	// headBytes is the part of the endless head that comes at once; headRest is the pause between the lines that follow.
	headBytes = 64_000
	headRest  = 200 * time.Millisecond
	// headWork is the time that a sound target works on a request, and headLimit its time limit.
	headWork  = 920 * time.Millisecond
	headLimit = 5 * time.Second
)

// endlessTarget is a target in trouble: it answers each request with bytes that are no answer and come without end, in a head, until the
// caller closes. Without trouble it is sound.
type endlessTarget struct {
	*target
	lines []byte
}

// endlessLines returns the beginning of a head of many short lines.
func endlessLines() []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$&*+-.^_`|~"
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; head.Len() < headBytes; i++ {
		n := len(letters)
		head.Write([]byte{letters[i%n], letters[i/n%n], letters[i/n/n%n]})
		head.WriteString(":\n")
	}
	return head.Bytes()
}

func (t *endlessTarget) start(log *record, s *store) error {
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.log, t.born, t.server = log, time.Now().UnixMilli(), &http.Server{}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go t.answer(socket)
		}
	}()
	return t.register(s)
}

func (t *endlessTarget) answer(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(socket)); err != nil {
		return
	}
	if _, err := socket.Write(t.lines); err != nil {
		return
	}
	for {
		time.Sleep(headRest)
		if _, err := socket.Write([]byte("x:\r\n")); err != nil {
			return
		}
	}
}

// memoryOf returns the resident memory of a process in bytes.
func memoryOf(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// guardMemory kills the process of a host, as the platform does, when its memory exceeds the limit of its machine, until done is closed.
// It returns how often that was, and the largest memory seen.
func (h *host) guardMemory(done <-chan struct{}) (kills int, most int64) {
	for {
		select {
		case <-done:
			return kills, most
		case <-time.After(10 * time.Millisecond):
		}
		h.mutex.Lock()
		pid := h.cmd.Process.Pid
		h.mutex.Unlock()
		memory := memoryOf(pid)
		most = max(most, memory)
		if memory > h.bed.machine.memoryMB<<20 {
			h.bed.log.printf("host %s: %d MB exceed the %d MB of the machine, so the platform kills the process", h.name, memory>>20, h.bed.machine.memoryMB)
			h.signal(syscall.SIGKILL)
			kills++
			time.Sleep(time.Second)
		}
	}
}

// steady sends a number of requests per second to a host for headRound and waits for their answers.
func (b *bed) steady(h *host, name string, rate int, path, hostName string) {
	var group sync.WaitGroup
	ticks := time.NewTicker(time.Second / time.Duration(rate))
	defer ticks.Stop()
	for range rate * int(headRound.Seconds()) {
		<-ticks.C
		group.Go(func() {
			_, _, _ = ask(b.log, name, h.front(), http.MethodGet, path, hostName, headLimit, "")
		})
	}
	group.Wait()
}

// caseHead sends the usual load while half of the targets of a service are in trouble.
func caseHead(b *bed, trouble bool) (bool, error) {
	b.machine = machineOfTableroGrown
	lines := endlessLines()
	for n := range headTargets + headSeconds {
		service := wegfinder
		if n >= headTargets {
			service = bookings
		}
		t := &target{service: service, slots: headSlots, zone: "nord-a", bodySize: 1500, work: headWork}
		if !trouble || n%2 == 0 {
			if err := b.addTarget(t); err != nil {
				return false, err
			}
			continue
		}
		e := &endlessTarget{target: t, lines: lines}
		e.address, e.id = b.nextTarget(service)
		b.targets = append(b.targets, t)
		if err := e.start(b.log, b.store); err != nil {
			return false, err
		}
	}
	if err := b.startHosts(2); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var guards, group sync.WaitGroup
	kills, most := make([]int, len(b.hosts)), make([]int64, len(b.hosts))
	for i, h := range b.hosts {
		guards.Go(func() { kills[i], most[i] = h.guardMemory(done) })
	}
	for range headRounds {
		for i, h := range b.hosts {
			name := fmt.Sprintf("caller of host %d", i+1)
			group.Go(func() { b.steady(h, name, headRate, lookupPath+"2f", lookupHost) })
			group.Go(func() { b.steady(h, name, headSecondRate, secondPath+"2f", lookupHost) })
		}
		group.Wait()
		for _, h := range b.hosts {
			if err := h.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(2 * time.Second)
	}
	close(done)
	guards.Wait()
	ended := 0
	for i, h := range b.hosts {
		b.log.printf("host %s: %d times over its memory, at most %d MB of %d", h.name, kills[i], most[i]>>20, b.machine.memoryMB)
		if kills[i] >= 3 {
			ended++
		}
	}
	return ended >= 2, nil
}
