// Package pubsub implements watermill's Publisher and Subscriber over core.Links.
//
// The metadata of a message holds its destination address under MetadataDestination; that of a received message holds the
// address of its sender under MetadataPeer. UUID, metadata and payload are encoded into the payload of a link message, so
// a topic of this package must not be used with core.Links.Send or core.Links.HandleMessage directly.
//
// Control messages are not redelivered. Ack makes the subscription deliver its next message. Nack does the same and is
// counted: every sender repeats its state or sends a newer one, and a redelivered message could undo the newer state. The
// queue of a subscription is bounded; on overflow the oldest message is dropped and counted.
package pubsub
