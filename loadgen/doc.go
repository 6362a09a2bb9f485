// Command loadgen sends bounded load to loopback addresses and checks the evidence that stand-in upstream targets recorded.
package main
