package core

import (
	"net/netip"

	"github.com/juju/errors"
)

// QuotaRecord names the process that divides the quotas.
type QuotaRecord struct {
	// Holders names the processes that may hold shares, as host/incarnation and separated by commas. A process gets its first share
	// after the record that names it was written, so that a successor knows for whose shares it has to wait.
	Holders     string     `json:"holders"`
	Host        string     `json:"host"`
	Incarnation string     `json:"incarnation"`
	LinkAddress string     `json:"link_address"`
	Token       QuotaToken `json:"token"`
	// Writes increases with each renewal, so that the object changes even if the store ignores writes of equal content.
	Writes int64 `json:"writes"`
}

// QuotaRead is the result of reading the record.
type QuotaRead struct {
	// Era increases when the store is restored from an older copy, which may repeat revisions.
	Era      int64
	Record   QuotaRecord
	Revision int64
}

// QuotaToken orders elections. The era comes first, because a restored store may repeat numbers.
type QuotaToken struct {
	Era    int64 `json:"era" msgpack:"era"`
	Number int64 `json:"number" msgpack:"number"`
}

// Less reports whether t belongs to an earlier election than other.
func (t QuotaToken) Less(other QuotaToken) bool {
	return t.Era < other.Era || t.Era == other.Era && t.Number < other.Number
}

// Validate implements Validator.Validate.
func (r QuotaRecord) Validate() error {
	if r.Host == "" || r.Incarnation == "" {
		return errors.NotValidf("host %q with incarnation %q", r.Host, r.Incarnation)
	}
	if _, err := netip.ParseAddrPort(r.LinkAddress); err != nil {
		return errors.NotValidf("link_address: %q", r.LinkAddress)
	}
	if r.Token.Number <= 0 || r.Token.Era < 0 {
		return errors.NotValidf("token: %v", r.Token)
	}
	return nil
}
