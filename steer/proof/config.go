package proof

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Config holds the dependencies of a Checker.
type Config struct {
	Links core.Links
	Log   *zap.Logger
	// MaxAge is the age above which a proof does not count. All periods of the package are fractions of it.
	MaxAge time.Duration
	// Newest reads the store.
	Newest core.NewestSettingsReader
	// Random returns a random duration from 0 to below limit. It may be nil outside tests.
	Random func(limit time.Duration) time.Duration
	// ReadSettings makes the host read the settings again at once. It must not block.
	ReadSettings func()
	// Readers returns the link addresses of the hosts of the region that read the store for the others, first the one to ask
	// first. The address of this host may be among them.
	Readers func() []string
	// Self is the link address of this host.
	Self     string
	Settings core.SettingsSource
	Timer    core.Timer
}

const (
	// awaitTime is the longest wait of Await.
	awaitTime = 300 * time.Millisecond
	// demandTime is the time after its last request with a key for which a host keeps its proof recent.
	demandTime = 5 * time.Second
	// ageRetryAfter and revisionRetryAfter are the times after which a refused caller should retry. New settings usually arrive
	// within the time of one list; an expired proof means that several attempts have failed.
	ageRetryAfter      = 500 * time.Millisecond
	revisionRetryAfter = 200 * time.Millisecond
	// minSettingsReadWait and maxSettingsReadWait bound the time between two reads of the settings for the same newest revision.
	minSettingsReadWait = 250 * time.Millisecond
	maxSettingsReadWait = 4 * time.Second
)

// Periods as parts of the maximum age, which is 3 s in the deployments that use proofs.
const (
	// refreshPart is the age from which a proof is replaced: 1.2 s. The remaining 1.8 s are enough for the readers, the host's own
	// read and its repetitions.
	refreshPart = 0.4
	// reusePart is the age up to which a reader answers with the proof that it has: 0.45 s.
	reusePart = 0.15
	// hedgePart is the time without an answer after which the next source is tried as well: 0.3 s, above the 0.24 s that a slow
	// store takes. urgentHedgePart, 0.08 s, applies while there is no valid proof, because requests wait for it.
	hedgePart       = 0.1
	urgentHedgePart = 0.027
	// jitterPart bounds the random delay before a host other than a reader reads the store, 0.2 s, so that the hosts of a region
	// that lose their reader do not read at the same time and the first of them can serve the rest.
	jitterPart       = 0.067
	urgentJitterPart = 0.02
	// readPart is the timeout of one read of the store, 0.6 s, and refreshTimePart that of all attempts of a refresh, 1.2 s.
	readPart        = 0.2
	refreshTimePart = 0.4
	// minRetryPart and maxRetryPart bound the exponential delay between failed refreshes: 0.1 s and 0.8 s, times 0.5 to 1.5.
	minRetryPart = 0.033
	maxRetryPart = 0.27
	// failurePart is the time after a failed read in which a reader answers others without another read: 0.6 s.
	failurePart = 0.2
)

// part returns a fraction of the maximum age.
func (c *Checker) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(c.config.MaxAge))
}

// randomBelow returns a random duration from 0 to below limit.
func randomBelow(limit time.Duration) time.Duration {
	return rand.N(limit)
}
