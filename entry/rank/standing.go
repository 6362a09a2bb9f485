package rank

import "time"

// Notice is a change that an offered request brought to light and that is worth a log line.
type Notice int

// The notices.
const (
	NoticeNone Notice = iota
	// NoticeScarce means that a service has begun to refuse requests for lack of room.
	NoticeScarce
	// NoticeRoom means that a service has room for all again.
	NoticeRoom
	// NoticeCustomersFull means that there are more customers than entries.
	NoticeCustomersFull
)

// Standing is how a request stands among the others of its service. Its methods need the same lock as the Ranker, its fields do not.
type Standing struct {
	// Entitled means that the request is within the share of its rank and customer. Others are only served by idle slots.
	Entitled bool
	// Excessive means that the customer sends more than its fair rate.
	Excessive bool
	// Ranked means that the request counts; Returned that its caller has probably been refused before.
	Ranked   bool
	Returned bool
	Scarce   bool
	// Urgent means that requests of a lower rank are refused for lack of room.
	Urgent bool
	Notice Notice
	// RoomIn is the time after which the customer's next request will be entitled.
	RoomIn time.Duration
	// Share is the share of the customer's requests that are entitled.
	Share    float64
	customer *customer
	service  *service
}

// FirstReport reports whether the customer's excess has not been reported since the service became scarce.
func (s *Standing) FirstReport() bool {
	if s.customer == nil || s.customer.reported == s.service.episode {
		return false
	}
	s.customer.reported = s.service.episode
	return true
}

// Admitted records that the request was sent to a target.
func (s *Standing) Admitted() {
	if s.Ranked {
		s.service.admitted.count++
	}
}

// Refused records that the request was refused because no target had room for it. An entitled one gets its entitlement back.
func (s *Standing) Refused() {
	if !s.Ranked || !s.Entitled {
		return
	}
	s.service.refused.count++
	if s.Scarce {
		s.customer.credit = min(maxCredit, s.customer.credit+1)
	}
}
