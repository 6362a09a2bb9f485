// Package share divides the quotas of customers among the hosts: Book decides how much each host gets, Elector which process
// decides, and Coordinator answers the hosts. docs/design/quota.md states why the sum of all shares stays within the bound.
package share
