package store

import "time"

// WatchLimit is the longest time for which the store lets a watch wait for a change.
const WatchLimit = 30 * time.Second

// HeaderIfVersion carries the version that a PUT or DELETE expects; 0 means that the key must not exist.
const HeaderIfVersion = "If-Version"

// HeaderUnlessVersion carries the version of the object that the caller of a GET already has. If the object still has this
// version, the response is status 304 without a value.
const HeaderUnlessVersion = "Unless-Version"

// Paths of the store's object API.
const (
	PathList    = "/v1/list"
	PathObjects = "/v1/objects/"
	PathWatch   = "/v1/watch"
)
