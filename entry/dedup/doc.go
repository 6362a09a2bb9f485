// Package dedup keeps idempotency records in the store so that keyed non-idempotent requests run at most once. Begin
// creates the running record of an attempt before the request is sent to an upstream, and Finish records its outcome.
//
// The records of a service are spread over shards. A shard has a head object with the records that may still change,
// and immutable segments with older records. Every write is conditional on the object version that the decision was
// based on. Two processes may therefore write the same shard at any time, and the stale writes of a paused process fail.
//
// The number of shards determines in which shard a key is looked up, so it is part of the stored format. Each service has
// a layout object with the number. A process rejects the keyed requests of the service if the number differs from its own,
// or if there are records without a layout object, because the first format (64 shards) had none. Changing the number
// requires a migration: stop the keyed requests of the service, write each live record to its new shard or wait until all
// records have expired, and delete the objects of the old layout.
//
// A Forwarder sends the calls for a shard to the preferred writer of the shard, which groups the writes of all hosts into
// fewer store writes. If no response arrives, the Forwarder retries the call locally. Every Begin that is sent for an
// attempt is a new try, and the record stores the number of the try that owns it. The process that owns the attempt
// ignores the response to a try once it has sent a higher one. A higher try may therefore adopt the running record of a
// lower try, and a late release of the lower try by the writer does not remove the record, because the higher try owns it.
// The conditional write remains the only protection against a second run.
//
// One limitation remains: if the writer records a Begin only after the attempt has ended as not run, nobody releases the
// running record. The key is then reported as running, and after maxRunningMs as DedupUnknown, until the record expires.
// This is rare, because it takes a lost response and a Begin that the writer completes within its own time limit; past that
// limit it releases the record.
//
// A Begin that finds a running record waits for the outcome of that attempt before it reports the key as running. The
// wait stores nothing: each poll is a separate Begin that changes nothing, as if the request had arrived later. Polls of
// one shard are decided in batches, so any number of waiting requests needs only one store read at a time.
package dedup
