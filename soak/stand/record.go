package stand

import (
	"sync"
	"time"
)

// Run is what targets saw of one request.
type Run struct {
	Arrivals int
	Began    time.Time
	Ended    time.Time
	Runs     int
	Target   string
}

// Record collects what targets saw. It is safe for concurrent use.
type Record struct {
	crashes map[string]time.Time
	mutex   sync.Mutex
	runs    map[string]*Run
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{crashes: map[string]time.Time{}, runs: map[string]*Run{}}
}

// Crashed returns when a target ended, or the zero time.
func (r *Record) Crashed(target string) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.crashes[target]
}

// Run returns what targets saw of a request, or the zero value if it reached none.
func (r *Record) Run(id string) Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if run := r.runs[id]; run != nil {
		return *run
	}
	return Run{}
}

func (r *Record) arrived(id, target string) {
	r.update(id, func(run *Run) { run.Arrivals++; run.Target = target })
}

func (r *Record) began(id, target string) {
	r.update(id, func(run *Run) { run.Runs++; run.Target, run.Began, run.Ended = target, time.Now(), time.Time{} })
}

func (r *Record) crashed(target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.crashes[target] = time.Now()
}

func (r *Record) ended(id string) {
	r.update(id, func(run *Run) { run.Ended = time.Now() })
}

func (r *Record) update(id string, change func(*Run)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.runs[id] == nil {
		r.runs[id] = &Run{}
	}
	change(r.runs[id])
}
