package core

import (
	"fmt"

	"github.com/juju/errors"
)

// HeaderLoad carries the load of the owner on its responses to relayed requests. It is removed before the response leaves
// the deployment.
const HeaderLoad = "Ebony-Load"

// FormatLoad returns the value of HeaderLoad: free slots, queued requests, slots and expected wait in milliseconds.
func FormatLoad(load ServiceLoad) string {
	return fmt.Sprintf("%d %d %d %d", load.FreeSlots, load.Queued, load.Slots, load.WaitMs)
}

// ParseLoad returns the load in a value of HeaderLoad, or an error if the value is malformed.
func ParseLoad(value string) (ServiceLoad, error) {
	var load ServiceLoad
	_, err := fmt.Sscanf(value, "%d %d %d %d", &load.FreeSlots, &load.Queued, &load.Slots, &load.WaitMs)
	if err != nil || load.FreeSlots < 0 || load.Queued < 0 || load.Slots < 0 || load.WaitMs < 0 {
		return ServiceLoad{}, errors.Errorf("%s %q is malformed", HeaderLoad, value)
	}
	return load, nil
}
