package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	progressInterval = 5 * time.Second
	logsMode         = 0o700
)

// runSoak runs a deployment with load and disturbances, prints what happened and reports whether a check failed.
func runSoak(ctx context.Context, o *options, out io.Writer) (broken bool, err error) {
	if o.seed == 0 {
		o.seed = uint64(time.Now().UnixNano()) //nolint:gosec // A time after 1970 is positive.
	}
	if o.logs == "" {
		o.logs, err = os.MkdirTemp("", "soak")
	} else {
		err = os.MkdirAll(o.logs, logsMode)
	}
	if err != nil {
		return false, errors.Trace(err)
	}
	_, _ = fmt.Fprintf(out, "seed %d, %d hosts, %d requests a second, %v, logs in %s\n", o.seed, o.hosts, o.load, o.duration, o.logs)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(ctx, o)
	if err != nil {
		return false, err
	}
	history := &history{}
	var tasks sync.WaitGroup
	load, stopLoad := context.WithTimeout(ctx, o.duration)
	defer stopLoad()
	d.startLoad(load, ctx, history, &tasks)
	tasks.Go(func() { history.printProgress(load, out) })
	if !o.calm {
		d.play(load, newPlan(o.seed, o.duration), out)
	}
	<-load.Done()
	tasks.Wait()
	d.stop(cancel)
	problems := d.check(history)
	history.summarize(out)
	for _, p := range problems {
		_, _ = fmt.Fprintln(out, p)
	}
	_, _ = fmt.Fprintf(out, "%d problems\n", len(problems))
	return len(problems) > 0, nil
}

// startLoad sends requests of all classes from all availability zones until load ends. Requests end with ctx.
func (d *deployment) startLoad(load, ctx context.Context, history *history, tasks *sync.WaitGroup) {
	for _, zone := range zoneNames {
		lookups := &directory{all: d.hosts, zone: zone}
		for i := range classes {
			c := &callers{class: &classes[i], directory: lookups, report: history.add}
			count := 1
			if c.class.habit == habitPipelined {
				count = maxPipelined
			}
			rate := float64(d.options.load) * c.class.share / float64(len(zoneNames)*count)
			tasks.Go(func() {
				var requests sync.WaitGroup
				defer requests.Wait()
				for {
					select {
					case <-load.Done():
						return
					case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))): //nolint:gosec // A test load.
						requests.Go(func() { c.send(ctx, 1+rand.IntN(count)) }) //nolint:gosec // A test load.
					}
				}
			})
		}
	}
}
