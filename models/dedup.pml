/*
 * Models the idempotency record of one key, which entry/dedup keeps in the store.
 *
 * Two hosts write the record with conditional updates. Each makes two attempts at the same request, so a retry of
 * the caller goes through the same host or the other one. Responses of the store can be lost: the write has taken
 * effect, has not, or takes effect later if the version still permits it. A call can also fail without effect.
 * A host can pause for any time between two steps, also while its attempt holds the record.
 *
 * Properties: at most one attempt runs the request (ran <= 1). The recorded response is that of the attempt that
 * ran. Once all hosts have ended and no write is pending, no attempt that ended without running holds the record.
 *
 * bounded: -DFAULTS=2
 *
 * Each mutant removes one rule and must be rejected:
 * mutant: UNCONDITIONAL
 * mutant: TRUST_LOST_ANSWER
 * mutant: NO_OWN_ATTEMPT
 * mutant: NO_RELEASE
 * mutant: NO_FENCE
 * mutant: RELEASE_ANY
 * mutant: TAKE_OVER
 */

#ifndef FAULTS
#define FAULTS 3 /* lost responses and failed calls in one run */
#endif

mtype = { NONE, RUNNING, DONE };
mtype = { OK, CONFLICT, LOST, REFUSED };

/* The record and its version in the store. */
mtype state = NONE;
byte holder = 0;
byte version = 0;

/* A pending write whose response was lost. */
bool late = false;
byte late_version;
mtype late_state;
byte late_holder;

byte faults = 0;
byte ended = 0;
byte ran = 0;
byte ran_attempt = 0;
bool dead[5]; /* attempts that ended without running the request */

#ifdef UNCONDITIONAL
#define MATCHES(v) (true)
#else
#define MATCHES(v) (version == (v))
#endif

inline apply(s, h)
{
	version++;
	state = s;
	holder = h
}

inline put(v, s, h)
{
	atomic {
		if
		:: MATCHES(v) -> apply(s, h); result = OK
		:: !MATCHES(v) -> result = CONFLICT
		:: faults < FAULTS -> faults++; result = LOST
		:: faults < FAULTS && MATCHES(v) -> faults++; apply(s, h); result = LOST
		:: faults < FAULTS && !late ->
			faults++; late = true; late_version = v; late_state = s; late_holder = h; result = LOST
		:: faults < FAULTS -> faults++; result = REFUSED
		fi
	}
}

inline get()
{
	atomic {
		if
		:: seen_version = version; seen_state = state; seen_holder = holder; loaded = true
		:: faults < FAULTS -> faults++; loaded = false
		fi
	}
}

/*
 * Removes the record of an attempt that doesn't run. Repeats until no write of the attempt can take effect.
 * While maybe is set, a write based on version fence has an unknown result. Writing the record unchanged raises the
 * version, so that the earlier write can no longer take effect.
 */
inline release()
{
	loaded = false;
	do
	:: !loaded -> get()
	:: loaded ->
		if
#ifdef RELEASE_ANY
		:: seen_state == RUNNING ->
#else
		:: seen_state == RUNNING && seen_holder == attempt ->
#endif
			put(seen_version, NONE, 0)
		:: else ->
			if
#ifdef NO_FENCE
			:: false -> skip
#else
			:: maybe && fence == seen_version -> put(seen_version, seen_state, seen_holder)
#endif
			:: else -> break
			fi
		fi;
		if
		:: result == OK -> loaded = false; maybe = false; break
		:: result == LOST -> loaded = false; maybe = true; fence = seen_version
		:: else -> loaded = false
		fi
	od
}

/* Records the response of the attempt that ran. */
inline finish()
{
	do
	:: !loaded -> get()
	:: loaded && seen_state == RUNNING && seen_holder == attempt ->
		put(seen_version, DONE, attempt);
		loaded = false;
		if
		:: result == OK -> break
		:: else
		fi
	:: loaded && !(seen_state == RUNNING && seen_holder == attempt) -> break
	od;
	loaded = false
}

/* Sets granted if the attempt may run: not if another attempt holds the record, a response is recorded or the store fails. */
inline begin()
{
	maybe = false;
	granted = false;
	do
	:: !loaded ->
		get();
		if
		:: !loaded -> break
		:: else
		fi
	:: loaded && seen_state == NONE ->
		put(seen_version, RUNNING, attempt);
		if
		:: result == OK -> seen_version++; seen_state = RUNNING; seen_holder = attempt; granted = true; break
		:: result == CONFLICT -> loaded = false
		:: result == REFUSED -> loaded = false; break
		:: result == LOST ->
			maybe = true; fence = seen_version; loaded = false
#ifdef TRUST_LOST_ANSWER
			; granted = true; break
#endif
		fi
#ifndef NO_OWN_ATTEMPT
	:: loaded && seen_state == RUNNING && seen_holder == attempt -> granted = true; break
#endif
#ifdef TAKE_OVER
	:: loaded && seen_state == RUNNING && seen_holder != attempt -> seen_state = NONE
#endif
#ifdef NO_OWN_ATTEMPT
	:: loaded && seen_state == RUNNING -> maybe = false; break
#else
	:: loaded && seen_state == RUNNING && seen_holder != attempt -> maybe = false; loaded = false; break
#endif
	:: loaded && seen_state == DONE -> maybe = false; break
	od
}

proctype host(byte first)
{
	byte attempt = first;
	byte seen_version = 0;
	byte seen_holder = 0;
	byte fence = 0;
	mtype seen_state = NONE;
	mtype result = OK;
	bool loaded = false;
	bool maybe = false;
	bool granted = false;

	do
	:: attempt < first + 2 ->
		begin();
		if
		:: granted ->
			if
			:: true -> ran++; ran_attempt = attempt; assert(ran <= 1); finish()
			:: true -> dead[attempt] = true; release() /* reported as not run */
			fi
		:: !granted ->
			dead[attempt] = true;
#ifndef NO_RELEASE
			if
			:: maybe -> release()
			:: else
			fi
#endif
		fi;
		attempt++
	:: else -> break
	od;
	ended++
}

active proctype network()
{
end:
	do
	:: late ->
		atomic {
			if
			:: MATCHES(late_version) -> apply(late_state, late_holder)
			:: else
			fi;
			late = false
		}
	od
}

active proctype check()
{
	ended == 2 && !late;
	assert(!(state == RUNNING && dead[holder]));
	assert(state != DONE || holder == ran_attempt)
}

init
{
	atomic {
		run host(1);
		run host(3)
	}
}
