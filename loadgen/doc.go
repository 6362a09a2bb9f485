// Command loadgen sends bounded load to loopback addresses and checks the evidence that the targets of test upstreams
// recorded.
package main
