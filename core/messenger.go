package core

// Messenger sends and receives the one-way control messages of a process.
type Messenger interface {
	// HandleMessage registers the handler of a topic, which is called for one message of the topic at a time.
	HandleMessage(topic string, handler MessageHandler)
	// Send queues a message for the process at address; a nil error does not mean that it arrived.
	Send(address, topic string, payload []byte) error
}
