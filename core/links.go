package core

import (
	"context"

	"github.com/juju/errors"
)

// Errors that every Links implementation returns, possibly wrapped.
const (
	// ErrLinkDown means that there is no live link to the address; nothing was sent.
	ErrLinkDown = errors.ConstError("link down")
	// ErrRingFull means that the send ring of the link has no room; nothing was sent.
	ErrRingFull = errors.ConstError("send ring full")
	// ErrNoReply means that the request was sent and no reply arrived in time.
	ErrNoReply = errors.ConstError("no reply")
)

// Links carries control messages between processes over one multiplexed connection per address.
type Links interface {
	// Alive reports whether the link to address has received data within the liveness timeout.
	Alive(address string) bool
	// Close closes all links and waits for their goroutines.
	Close() error
	// Connect keeps a link to address open and redials it with jitter until Disconnect is called.
	Connect(address string)
	// Disconnect closes the link that Connect opened and stops redialling; a link that the peer opened stays open.
	Disconnect(address string)
	// HandleMessage registers the handler of one-way messages on topic; the handler must not block.
	HandleMessage(topic string, handler MessageHandler)
	// HandleRequest registers the handler of requests on topic.
	HandleRequest(topic string, handler RequestHandler)
	// Request sends payload and returns the reply to exactly this request; late replies to earlier ones are dropped.
	Request(ctx context.Context, address, topic string, payload []byte) ([]byte, error)
	// Send queues a one-way message. If the ring is full, the oldest queued message of a droppable topic is dropped.
	Send(address, topic string, payload []byte) error
}

// MessageHandler handles one-way messages; peer is the advertised address of the sender.
type MessageHandler func(peer string, payload []byte)

// RequestHandler returns the reply to one request; an error is sent to the requester as text.
type RequestHandler func(ctx context.Context, peer string, payload []byte) ([]byte, error)

// Topics of control messages; further topics are declared with the types that they carry.
const (
	// TopicDocument carries DocumentNotice.
	TopicDocument = "document"
	// TopicDocumentGet carries DocumentGet; the reply is a DocumentChunk.
	TopicDocumentGet = "document_get"
	// TopicEntryStatus carries EntryStatus from an entry process to its steer.
	TopicEntryStatus = "entry_status"
	// TopicLeaseConfirm carries LeaseRenew to the steer, which confirms through the store; the reply is a LeaseReply.
	TopicLeaseConfirm = "lease_confirm"
	// TopicLeaseRenew carries LeaseRenew to a grantor; the reply is a LeaseReply.
	TopicLeaseRenew = "lease_renew"
	// TopicLoad carries LoadReport.
	TopicLoad = "load"
	// TopicMember carries MemberUpdate; the reply to an empty request is a MemberUpdate with all registrations.
	// These members are registered hosts, unlike the lease members of TopicMemberRevoke.
	TopicMember = "member"
	// TopicMemberRevoke carries MemberRevoke to the local steer; the reply is a LeaseChangeReply.
	TopicMemberRevoke = "member_revoke"
	// TopicStatusGet carries an empty request; the reply is a HostStatus.
	TopicStatusGet = "status_get"
	// TopicSync carries DocumentSyncGet; the reply is a DocumentSync.
	TopicSync = "sync"
)
