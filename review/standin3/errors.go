package main

import "errors"

// errNotServed means that the deployment does not serve an ordinary request before the trouble.
var errNotServed = errors.New("an ordinary request was not served before the trouble")
