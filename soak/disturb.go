package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	pauseTime      = 1500 * time.Millisecond
	storeDownTime  = 3 * time.Second
	reloadsPerHost = 3
	// reloadInterval is shorter than the start of a process.
	reloadInterval = 5 * time.Millisecond
)

// play plays a plan and waits until all of its disturbances have ended.
func (d *deployment) play(ctx context.Context, plan []disturbance, out io.Writer) {
	started := time.Now()
	var tasks sync.WaitGroup
	for _, step := range plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(started.Add(step.at))):
		}
		_, _ = fmt.Fprintln(out, "disturbance", step)
		tasks.Go(func() { d.disturb(ctx, step) })
	}
	tasks.Wait()
}

// disturb plays one disturbance.
func (d *deployment) disturb(ctx context.Context, step disturbance) {
	if step.kind == kindStoreOutage {
		d.store.SetFailing(true)
		time.Sleep(storeDownTime)
		d.store.SetFailing(false)
		return
	}
	var tasks sync.WaitGroup
	for n := range step.count {
		h := d.hosts[(step.first+n)%len(d.hosts)]
		switch step.kind {
		case kindReload:
			tasks.Go(func() { reloadOften(h) })
		case kindRoll:
			h.stop()
			tasks.Go(func() { reloadOften(h) })
		case kindKill:
			tasks.Go(func() {
				h.signal(syscall.SIGKILL)
				reloadOften(h)
			})
		case kindPause:
			h.signal(syscall.SIGSTOP)
			time.Sleep(pauseTime)
			h.signal(syscall.SIGCONT)
			return
		case kindSettings:
			_ = d.changeSettings()
		default:
			d.disturbTarget(ctx, step.kind, step.first, &tasks)
		}
		time.Sleep(step.gap)
	}
	tasks.Wait()
}

// disturbTarget replaces a target or lets it crash and starts another one.
func (d *deployment) disturbTarget(ctx context.Context, k kind, n int, tasks *sync.WaitGroup) {
	t := d.removeTarget(n)
	for _, s := range services {
		if s.name == t.Service {
			_ = d.startTarget(s, t.Zone)
		}
	}
	if k == kindCrash {
		t.Crash()
		d.store.Remove("servers", t.ID)
		return
	}
	tasks.Go(func() { t.Leave(ctx) })
}

// reloadOften sends SIGHUP during a restart of a host and after it.
func reloadOften(h *host) {
	for range reloadsPerHost * int(restartDelay/reloadInterval) {
		h.signal(syscall.SIGHUP)
		time.Sleep(reloadInterval)
	}
}
