// Package pubsub implements watermill's Publisher and Subscriber over core.Links.
//
// The destination of a message is an address in its metadata under MetadataDestination; a received message names its
// sender under MetadataPeer. UUID, metadata and payload are sent, so a topic of this package must not also be used by
// core.Links.Send or core.Links.HandleMessage directly.
//
// Control messages are not redelivered. Ack releases the next message of the subscription. Nack does the same and is
// counted: every sender repeats its state or sends a newer one, and a redelivered old message could undo it. Messages
// that wait for a slow subscription are bounded; on overflow the oldest is dropped and counted.
package pubsub
