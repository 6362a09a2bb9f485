// Package dedup keeps idempotency records in the store so that keyed non-idempotent requests run at most once.
//
// The records of a service are spread over shards. A shard has a head object with the records that may still
// change and immutable segments with older ones. Every write is conditional on the version that the decision
// was based on, so two processes may write the same shard at any time, and one that was paused is fenced.
//
// The number of shards is part of the stored format, because it decides in which shard a key is looked for. Each
// service has an object that states it, and a process that finds another number, or records without it (the first
// format had 64 shards and no such object), rejects the service's keyed requests. Changing the number needs a
// migration: stop the keyed requests of the service, write each live record to its new shard or wait until all have
// expired, and delete the objects of the old layout.
//
// A Remote sends the calls of a shard to the preferred writer of the shard, which then groups the writes of all
// hosts. If no answer arrives, it repeats the call locally. The two Begins of one attempt are two tries, and the
// record names the try that holds it: the process that owns the attempt uses no answer to a lower try after it has
// sent a higher one, so the higher try may replace the running record of the lower one, while the writer's late
// release of the lower try finds a record that is not its own. The conditional write remains the only fence. One
// limit: a Begin that the writer records only after the attempt has ended as not run leaves a running record that
// nobody releases, and the key is reported as possibly run until it expires. The writer's own time limit for a
// Begin, after which it releases the record, makes this rare; it needs a lost reply as well.
//
// A Begin that finds a running record waits for its outcome before it says so. It holds nothing in the store meanwhile:
// each look-up is a Begin of its own that has changed nothing, as if the request had arrived later. Look-ups of one
// shard are decided together, so that waits of any number need one read of the store at a time.
package dedup
