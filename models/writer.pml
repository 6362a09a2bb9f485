/*
 * Models the idempotency record of one key when attempts begin at the preferred writer of the shard
 * (entry/dedup.Forwarder).
 *
 * The origin asks the writer to begin attempt 1 as try 0. It can give up at any time. From then on it ignores the
 * writer's response and begins the attempt itself as try 1, which may adopt the running record of try 0. The writer
 * can serve the request at any time, also after the origin has given up or ended. It releases try 0 if its time limit
 * ends before it has responded. Meanwhile another host makes attempts 2 and 3 of the
 * same request. Responses of the store can be lost as in dedup.pml: the write has taken effect, has not, or takes effect
 * later if the version still permits it.
 *
 * Properties: at most one attempt runs the request (ran <= 1). Once all processes have ended and no write is pending,
 * no attempt that ended without running holds the record, except try 0 of an origin that has ended (the limitation
 * described in entry/dedup/doc.go).
 *
 * bounded: -DFAULTS=1
 *
 * Each mutant removes one rule and must be rejected:
 * mutant: SAME_TRY
 * mutant: NO_TAKE
 * mutant: RELEASE_ANY_TRY
 * mutant: USE_LATE_ANSWER
 * mutant: NO_FENCE
 * mutant: TAKE_ANY
 * mutant: LEAVE_MAYBE
 */

#ifndef FAULTS
#define FAULTS 2 /* lost responses and failed calls in one run */
#endif

mtype = { NONE, RUNNING, DONE };
mtype = { OK, CONFLICT, LOST, REFUSED };

/* The record and its version in the store. */
mtype state = NONE;
byte holder = 0;
byte held_try = 0; /* try of the attempt that holds the record */
byte version = 0;

/* A pending write whose response was lost. */
bool late = false;
byte late_version;
mtype late_state;
byte late_holder;
byte late_try;

byte faults = 0;
byte ended = 0;
byte ran = 0;
bool dead[4];          /* attempts that ended without running the request */
bool waiting = true;   /* the origin still accepts the writer's response */
bool granted0 = false; /* the writer's grant of try 0 has arrived */

inline apply(s, h, t)
{
	version++;
	state = s;
	holder = h;
	held_try = t
}

inline put(v, s, h, t)
{
	atomic {
		if
		:: version == v -> apply(s, h, t); result = OK
		:: version != v -> result = CONFLICT
		:: faults < FAULTS -> faults++; result = LOST
		:: faults < FAULTS && version == v -> faults++; apply(s, h, t); result = LOST
		:: faults < FAULTS && !late ->
			faults++; late = true; late_version = v; late_state = s; late_holder = h; late_try = t; result = LOST
		:: faults < FAULTS -> faults++; result = REFUSED
		fi
	}
}

inline get()
{
	atomic {
		if
		:: seen_version = version; seen_state = state; seen_holder = holder; seen_try = held_try; loaded = true
		:: faults < FAULTS -> faults++; loaded = false
		fi
	}
}

#ifdef RELEASE_ANY_TRY
#define HELD (seen_state == RUNNING && seen_holder == attempt)
#else
#define HELD (seen_state == RUNNING && seen_holder == attempt && seen_try <= try)
#endif

/*
 * Removes the running record of this or a lower try. Repeats until no write of this try can take effect. While maybe
 * is set, a write based on version fence has an unknown result. Writing the record unchanged raises the version, so that
 * the earlier write can no longer take effect.
 */
inline release()
{
	loaded = false;
	do
	:: !loaded -> get()
	:: loaded ->
		if
		:: HELD -> put(seen_version, NONE, 0, 0)
		:: else ->
			if
#ifdef NO_FENCE
			:: false -> skip
#else
			:: maybe && fence == seen_version -> put(seen_version, seen_state, seen_holder, seen_try)
#endif
			:: else -> break
			fi
		fi;
		if
		:: result == OK -> maybe = false; break
		:: result == LOST -> loaded = false; maybe = true; fence = seen_version
		:: else -> loaded = false
		fi
	od;
	loaded = false
}

/*
 * Sets granted if this try may run. A failed read also models a caller that disconnects between two iterations: none
 * follows, and a write with an unknown result has to be released.
 */
inline begin()
{
	maybe = false;
	granted = false;
	loaded = false;
	do
	:: !loaded ->
		get();
		if
		:: !loaded ->
#ifdef LEAVE_MAYBE
			maybe = false;
#endif
			break
		:: else
		fi
	:: loaded && (seen_state == NONE || (seen_state == RUNNING && seen_holder == attempt && seen_try < try)
#ifdef TAKE_ANY
		|| (seen_state == RUNNING && attempt == 1)
#endif
		) ->
#ifdef NO_TAKE
		if
		:: seen_state == RUNNING -> granted = true; break
		:: else
		fi;
#endif
		put(seen_version, RUNNING, attempt, try);
		if
		:: result == OK -> granted = true; break
		:: result == CONFLICT -> loaded = false
		:: result == REFUSED -> break
		:: result == LOST -> maybe = true; fence = seen_version; loaded = false
		fi
	:: loaded && seen_state == RUNNING && seen_holder == attempt && seen_try == try ->
#ifdef SAME_TRY
		granted = true;
#else
		granted = maybe;
#endif
		break
	:: loaded && ((seen_state == RUNNING && (seen_holder != attempt || seen_try > try)) || seen_state == DONE) ->
		maybe = false; break
	od;
	loaded = false
}

/* Records the response of the attempt that ran; the record may hold any of its tries. */
inline finish()
{
	do
	:: !loaded -> get()
	:: loaded && seen_state == RUNNING && seen_holder == attempt ->
		put(seen_version, DONE, attempt, seen_try);
		loaded = false;
		if
		:: result == OK -> break
		:: else
		fi
	:: loaded && !(seen_state == RUNNING && seen_holder == attempt) -> break
	od;
	loaded = false
}

#define LOCALS \
	byte seen_version = 0; byte seen_holder = 0; byte seen_try = 0; byte fence = 0; mtype seen_state = NONE; \
	mtype result = OK; bool loaded = false; bool maybe = false; bool granted = false

/* Runs the request, or reports it as not run. */
inline use()
{
	if
	:: true -> ran++; assert(ran <= 1); finish()
	:: true -> dead[attempt] = true; maybe = false; release()
	fi
}

proctype origin()
{
	byte attempt = 1;
	byte try = 0;
	LOCALS;

	if
	:: atomic { granted0 -> waiting = false }
	:: atomic { !granted0 -> waiting = false }
#ifdef SAME_TRY
		try = 0;
#else
		try = 1;
#endif
		begin();
		if
		:: granted
		:: !granted -> dead[1] = true; release()
		fi
	fi;
	if
	:: dead[1]
	:: !dead[1] -> use()
	fi;
#ifdef USE_LATE_ANSWER
	if
	:: dead[1] && granted0 && try == 1 -> ran++; assert(ran <= 1)
	:: else
	fi;
#endif
	ended++
}

proctype writer()
{
	byte attempt = 1;
	byte try = 0;
	LOCALS;

	begin();
	if
	:: granted ->
		if
#ifdef USE_LATE_ANSWER
		:: granted0 = true
#else
		:: atomic { waiting -> granted0 = true }
#endif
		:: true /* the response is lost or arrives after the origin has given up */
		:: release() /* the writer's time limit ends before it responds */
		fi
	:: !granted && maybe -> release()
	:: !granted && !maybe
	fi;
	ended++
}

proctype other()
{
	byte attempt = 2;
	byte try = 0;
	LOCALS;

	do
	:: attempt <= 3 ->
		begin();
		if
		:: granted -> use()
		:: !granted && maybe -> dead[attempt] = true; release()
		:: !granted && !maybe -> dead[attempt] = true
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
			:: version == late_version -> apply(late_state, late_holder, late_try)
			:: else
			fi;
			late = false
		}
	od
}

active proctype check()
{
	ended == 3 && !late;
	assert(!(state == RUNNING && dead[holder]) || (holder == 1 && held_try == 0))
}

init
{
	atomic {
		run origin();
		run writer();
		run other()
	}
}
