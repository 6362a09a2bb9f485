package main

import "time"

// habit is the way in which a caller uses connections.
type habit int

const (
	// habitFresh opens a connection for each request.
	habitFresh habit = iota
	// habitKept keeps a connection open for one request after the other.
	habitKept
	// habitPipelined sends further requests before the first one has been answered.
	habitPipelined
)

// class is one kind of request.
type class struct {
	name     string
	service  string
	habit    habit
	unsafe   bool
	aim      time.Duration
	deadline time.Duration
	// share is the part of all requests.
	share float64
}

var classes = []class{
	{"hive-status", "statusboard", habitPipelined, false, 600 * time.Millisecond, 4 * time.Second, 0.5},
	{"hive-booking", "bookings", habitFresh, true, 800 * time.Millisecond, 6 * time.Second, 0.1},
	{"hive-relocation", "bookings", habitKept, true, 800 * time.Millisecond, 6 * time.Second, 0.08},
	{"harvest-sched", "apiary-records", habitKept, false, 1500 * time.Millisecond, 12 * time.Second, 0.2},
	{"colony-history", "statusboard", habitKept, false, 400 * time.Millisecond, 2 * time.Second, 0.12},
}

func (c *class) kind() string {
	if c.unsafe {
		return "unsafe"
	}
	return "safe"
}

func (c *class) method() string {
	if c.unsafe {
		return "POST"
	}
	return "GET"
}

func (c *class) path() string { return "/" + c.name + "/" }
