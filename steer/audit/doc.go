// Package audit notices that the response to a call to the store was lost while the call still waits. The revisions that other
// responses show tell whether there may be a change that the call has not returned.
package audit
