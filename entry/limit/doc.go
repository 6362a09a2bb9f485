// Package limit admits requests to the target slots and the shift caps that this process owns.
package limit
