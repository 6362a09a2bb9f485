// Package spread divides affinity keys among the targets of a service in proportion to their sizes, so that few keys move when
// targets are added or removed. All hosts that know the same targets compute the same order.
package spread
