// Command loadgen sends bounded load to loopback addresses and checks the evidence that stand-in upstreams recorded.
package main
