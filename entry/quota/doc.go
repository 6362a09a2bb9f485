// Package quota enforces the quotas of customers on one host. Shares decides which requests the host may take; Limiter asks the
// coordinator of package steer/share for shares and implements core.QuotaLimiter.
package quota
