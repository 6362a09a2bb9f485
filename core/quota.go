package core

// QuotaLimiter enforces the quotas of customers over all hosts together.
type QuotaLimiter interface {
	// Take counts one request of a customer against its quota. It returns a *RejectedError if the quota is used up.
	Take(customer *CustomerSettings) error
}
