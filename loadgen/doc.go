// Command loadgen sends bounded load to loopback addresses and checks the evidence of upstream stand-ins.
package main
