/*
 * Idempotency record of one key, as entry/dedup keeps it in the store.
 *
 * Two hosts write the record by conditional updates. Each makes two attempts at the request of one caller, so
 * that a retry goes through the other host or through the same one. The store loses answers: a write whose
 * answer is lost took effect, did not, or takes effect later if the version still permits it. A call may also
 * fail without effect. A host may stop for any time between two steps, which covers a paused holder.
 *
 * Properties: at most one attempt runs the request (ran <= 1); the recorded answer is the one of the attempt
 * that ran; when all hosts have ended and no write is under way, no attempt that never runs holds the record.
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
#define FAULTS 3 /* lost answers and failed calls in one run */
#endif

mtype = { NONE, RUNNING, DONE };
mtype = { OK, CONFLICT, LOST, REFUSED };

/* The record and its version in the store. */
mtype state = NONE;
byte holder = 0;
byte version = 0;

/* A write that is still under way although its answer is lost. */
bool late = false;
byte late_version;
mtype late_state;
byte late_holder;

byte faults = 0;
byte ended = 0;
byte ran = 0;
byte ran_attempt = 0;
bool dead[5]; /* attempts that have ended without running */

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

/* Removes the record of an attempt that never runs; goes on until no write of the attempt can take effect. */
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

/* Records the answer of the attempt that ran. */
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

/* Ends with granted if the attempt may run, or with refused if the record or the store forbids it. */
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
