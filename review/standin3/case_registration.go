package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["registration"] = caseRegistration }

const (
	// registrationLate is the time after which the store does a write whose answer is lost.
	registrationLate = 5500 * time.Millisecond
	// registrationRecover is the bound recover.
	registrationRecover = 15 * time.Second
	// registrationBefore and registrationAfter are the times for which requests are counted before and after the final fault.
	registrationBefore = 5 * time.Second
	registrationAfter  = 10 * time.Second
	// registrationCallers is the number of callers that come each second. Each sends one request and leaves.
	registrationCallers = 10
	// registrationHeartbeat is the time between two status reports of a target.
	registrationHeartbeat = 1500 * time.Millisecond
)

// caseRegistration stops and starts two hosts in turn, then kills all processes at once right after a change of the desired state was
// acknowledged. With trouble, the store loses the answers of two writes and does them late.
func caseRegistration(b *bed, trouble bool) (bool, error) {
	if err := b.usual(2, 20*time.Millisecond, 20*time.Millisecond, 200); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, t := range b.targets {
		go t.report(b.storeAddress, stop)
	}
	before := b.newCallers(registrationBefore)
	if before.served == 0 {
		return false, errNotServed
	}
	b.store.mutex.Lock()
	writes := b.store.writes
	if trouble {
		b.store.onWrite = func(method, kind, _ string) time.Duration {
			if method == http.MethodDelete && kind == "ebony_hosts" {
				return registrationLate
			}
			return 0
		}
	}
	b.store.mutex.Unlock()
	for _, h := range b.hosts {
		h.signal(syscall.SIGTERM)
		time.Sleep(time.Second)
	}
	if err := b.store.set("config", "main", desiredState("r9", usualRoutes()...)); err != nil {
		return false, err
	}
	b.log.printf("operator: r9 is acknowledged, all processes are killed")
	for _, h := range b.hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, h := range b.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	b.log.printf("all machines are back and ready")
	time.Sleep(registrationRecover)
	b.store.mutex.Lock()
	b.log.printf("store: %d of %d writes since the first SIGTERM got no answer", b.store.lost, b.store.writes-writes)
	b.store.mutex.Unlock()
	after := b.newCallers(registrationAfter)
	b.log.printf("registered hosts: %v", b.store.names("ebony_hosts"))
	b.log.printf("before the final fault %d of %d requests were served, later than recover after it %d of %d", before.served, before.sent, after.served, after.sent)
	return 4*before.served >= before.sent && 4*after.served < after.sent, nil
}

// counted is the number of requests that were sent and served.
type counted struct{ sent, served int64 }

// newCallers lets new callers come for some time and returns what became of their requests.
func (b *bed) newCallers(d time.Duration) counted {
	var sent, served atomic.Int64
	var group sync.WaitGroup
	ticks := time.NewTicker(time.Second / registrationCallers)
	defer ticks.Stop()
	for n := range int(d.Seconds()) * registrationCallers {
		<-ticks.C
		group.Go(func() {
			sent.Add(1)
			if b.callOnce(fmt.Sprintf("caller %d", n)) {
				served.Add(1)
			}
		})
	}
	group.Wait()
	return counted{sent.Load(), served.Load()}
}

// callOnce is a new caller: it asks the directories which host to use, and sends one request there. After a failure it tries again when the
// refusals of the system ask for it, once as on the sheets, and reports whether it was served.
func (b *bed) callOnce(name string) bool {
	for range 2 {
		for _, address := range b.resolve() {
			if _, a, err := ask(b.log, name, address, http.MethodGet, lookupPath+"2f", lookupHost, lookupLimit, ""); err == nil && a.status == http.StatusOK {
				return true
			}
		}
		time.Sleep(time.Second)
	}
	return false
}

// resolve returns the addresses that the first directory with an answer names.
func (b *bed) resolve() []string {
	for _, h := range b.hosts {
		status, body := lookUp(b.log, h.directory(), lookupHost, "muc-nord", "nord-a")
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}
