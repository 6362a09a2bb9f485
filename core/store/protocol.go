package store

import "time"

// WatchLimit is the longest time that the store keeps a watch waiting.
const WatchLimit = 30 * time.Second

// HeaderIfVersion carries the version that a PUT or DELETE expects; 0 means that the key must not exist.
const HeaderIfVersion = "If-Version"

// HeaderUnlessVersion carries the version that the caller of a GET holds; an object that still has it is answered with
// status 304 and without a value.
const HeaderUnlessVersion = "Unless-Version"

// Paths of the store's object API.
const (
	PathList    = "/v1/list"
	PathObjects = "/v1/objects/"
	PathWatch   = "/v1/watch"
)
