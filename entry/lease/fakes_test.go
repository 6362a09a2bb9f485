package lease

import (
	"time"

	"ebonyrouter.dev/core"
)

// clock is a timer whose time the tests set; its channels never receive.
type clock struct {
	now core.Instant
}

func (c *clock) After(time.Duration) <-chan core.Instant { return nil }

func (c *clock) C() <-chan core.Instant { return nil }

func (c *clock) Now() core.Instant { return c.now }

func (c *clock) Stop() {}

func (c *clock) Subscribe(time.Duration) core.Subscription { return c }

// hostList is a fixed view of hosts.
type hostList []core.Host

func (l hostList) Hosts() []core.Host { return l }
