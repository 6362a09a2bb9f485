// Command standin plays one case of the review. It contains stand-ins of the platform's store, targets and clients, and starts
// entry hosts with the command of the deploy file. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// limit bounds one case.
const limit = 100 * time.Second

// env is what a case has: the store, the record and the processes that it started.
type env struct {
	hosts   []*host
	net     string
	record  *record
	root    string
	store   *store
	targets []*target
	temp    string
	// trouble is false if the case is played without its disruption.
	trouble bool
}

var cases = map[string]func(*env) (bool, error){}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temp) }()
	e := &env{record: rec, root: os.Args[2], store: newStore(rec), temp: temp, trouble: os.Getenv("TROUBLE") != "0"}
	defer e.stop()
	if e.net, err = freeNet(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](e)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = fmt.Errorf("the case took longer than %s", limit)
	}
	switch {
	case r.err != nil:
		rec.add("the case could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case r.broken:
		rec.add("the rule was broken")
		fmt.Println("broken")
		return 1
	default:
		rec.add("the rule held")
		fmt.Println("held")
		return 0
	}
}

// stop ends all processes that were started.
func (e *env) stop() {
	for _, h := range e.hosts {
		h.signal(syscall.SIGKILL)
		<-h.ended
		_ = h.log.Close()
	}
}

// ip returns a loopback address of the case.
func (e *env) ip(n int) string { return fmt.Sprintf("%s.%d", e.net, n) }

// freeNet returns the first three parts of a range of loopback addresses on which nothing listens on the ports that hosts use.
func freeNet() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for n := 1; n <= 4 && free; n++ {
			for _, port := range []int{7200, 8381, 8383, 8384, 8388, 9100} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, n, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free range of loopback addresses")
}
