package core

import "context"

// QuotaLimiter enforces the quotas of customers over all hosts together.
type QuotaLimiter interface {
	// Take counts one request of a customer against its quota. It returns a *RejectedError if the quota is used up.
	Take(customer *CustomerSettings) error
}

// QuotaCoordinator finds the process that divides the quotas among the hosts, and divides them while this process is elected.
type QuotaCoordinator interface {
	// Answer answers the ask of a host. A reply without Coordinating grants nothing.
	Answer(ctx context.Context, ask QuotaAsk) (QuotaReply, error)
	// Find reads who coordinates and takes over if nobody does. It returns the errors of QuotaStore.
	Find(ctx context.Context) (QuotaRecord, error)
}

// QuotaStore reads and writes the one object that names the coordinator. Reads are linearizable.
type QuotaStore interface {
	// FirstEra returns the era of the first response that the process received, of any kind of object.
	FirstEra() int64
	// Read returns the record, its revision and the store's era. An object that does not exist has revision 0 and no error.
	Read(ctx context.Context) (QuotaRead, error)
	// Write replaces the record if its revision is still the given one, or creates it if revision is 0. It returns the new
	// revision and the store's era, or ErrConflict. After any other error the write may still be executed later.
	Write(ctx context.Context, record QuotaRecord, revision int64) (newRevision, era int64, err error)
}

// TopicQuota carries QuotaAsk to the coordinator; the reply is a QuotaReply.
const TopicQuota = "quota"
