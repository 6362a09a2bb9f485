// Package limit admits requests to the target slots and the shift caps that this process owns. It implements
// core.Admitter for the command entry; the command platform uses package place.
package limit
