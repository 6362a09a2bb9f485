package core

import (
	"math"

	"github.com/juju/errors"
)

// MaxQuotaCustomers bounds the customers of one ask or reply, which must fit in a frame.
const MaxQuotaCustomers = 4096

// QuotaAsk reports the shares that a host holds and the demand of its customers' requests. Number increases with each ask of
// an incarnation; the host uses only the reply to its latest ask. Token is the highest that the host knows.
type QuotaAsk struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Customers   []QuotaDemand `msgpack:"customers"`
	Host        string        `msgpack:"host"`
	Incarnation string        `msgpack:"incarnation"`
	Number      int64         `msgpack:"number"`
	Token       QuotaToken    `msgpack:"token"`
}

// QuotaDemand is what a host holds and needs of the quota of one customer. All zero gives the share back.
type QuotaDemand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	// Burst and Rate are the share that the host holds: requests, and requests per second.
	Burst    float64 `msgpack:"burst"`
	Customer string  `msgpack:"customer"`
	// Demand is the recent rate of requests, refused ones included, per second.
	Demand float64 `msgpack:"demand"`
	// Level is the unused part of the burst, in requests.
	Level float64 `msgpack:"level"`
	Rate  float64 `msgpack:"rate"`
	// Returned is the number of unused requests that the host has given back; Burst is already lower by it.
	Returned float64 `msgpack:"returned"`
	// Waiting is the number of requests that the host could not take yet.
	Waiting int `msgpack:"waiting"`
}

// QuotaReply is the reply to the ask with the same number.
type QuotaReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	// Coordinating is false if the process is not the coordinator; the reply then grants nothing.
	Coordinating bool         `msgpack:"coordinating"`
	Number       int64        `msgpack:"number"`
	Shares       []QuotaShare `msgpack:"shares"`
	Token        QuotaToken   `msgpack:"token"`
}

// QuotaShare is the part of a customer's quota that a host may use until its lease ends.
type QuotaShare struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	// Burst is the most that the host may keep unused, in requests.
	Burst    float64 `msgpack:"burst"`
	Customer string  `msgpack:"customer"`
	// Exhausted means that the quota of all hosts is used up: another ask before the next regular one gets nothing more.
	Exhausted bool    `msgpack:"exhausted"`
	Rate      float64 `msgpack:"rate"`
	// Tokens is the number of requests that the host may take at once, in addition to the rate. They are granted only once.
	Tokens float64 `msgpack:"tokens"`
	// Total is the quota that was divided, in requests per second. A host that knows a lower one reduces its share accordingly.
	Total float64 `msgpack:"total"`
}

// Validate implements Validator.Validate.
func (a QuotaAsk) Validate() error {
	if a.Host == "" || a.Incarnation == "" || a.Number <= 0 {
		return errors.NotValidf("ask %d of host %q with incarnation %q", a.Number, a.Host, a.Incarnation)
	}
	if len(a.Customers) > MaxQuotaCustomers {
		return errors.NotValidf("%d customers", len(a.Customers))
	}
	for i, c := range a.Customers {
		if c.Customer == "" || c.Waiting < 0 || !areAmounts(c.Burst, c.Demand, c.Level, c.Rate, c.Returned) {
			return errors.NotValidf("customers[%d]: %v", i, c)
		}
	}
	return nil
}

// Validate implements Validator.Validate.
func (r QuotaReply) Validate() error {
	if len(r.Shares) > MaxQuotaCustomers {
		return errors.NotValidf("%d shares", len(r.Shares))
	}
	for i, s := range r.Shares {
		if s.Customer == "" || !areAmounts(s.Burst, s.Rate, s.Tokens, s.Total) {
			return errors.NotValidf("shares[%d]: %v", i, s)
		}
	}
	return nil
}

// areAmounts reports whether all values are finite and not negative.
func areAmounts(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return true
}
