// Package proxy forwards HTTP requests, sent by callers or relayed by other entry processes, to upstream targets or to
// other entry processes.
//
// It writes and reads HTTP/1.1 on its own connections. net/http's Transport is not used, because it retries a request on
// its own when a kept-alive connection closes before the response: always if it wrote nothing, and also after writing if
// the method is GET, HEAD, OPTIONS or TRACE, or the header Idempotency-Key or X-Idempotency-Key is present, and the body
// can be rewound.
package proxy
