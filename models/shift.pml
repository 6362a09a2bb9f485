/*
 * The cap of a shift while its gateway changes and requests wait (entry/limit/shift.go, entry/proxy/attempt.go).
 *
 * Time passes in ticks; WINDOW ticks stand for the second over which the cap counts. Process 1 owns the shift as long
 * as its lease holds, and process 2 after it: at once when process 1 has released the shift, and after the takeover
 * wait when the lease was revoked. A request is reserved, waits for bandwidth and a connection, is counted and sent.
 * Time may pass between any two steps but the last two, which also stands for a pause of the process. Operators lower
 * the cap at some time, and each process learns of it at any later time.
 *
 * Property: whenever a process sends a request, all requests that were sent within WINDOW ticks are at most the cap in
 * force at this process.
 *
 * bounded: -DENDS=7
 *
 * Each mutant removes one rule and must be rejected:
 * mutant: COUNT_AT_RESERVATION
 * mutant: NO_LEASE_CHECK
 * mutant: NO_SILENT_START
 * mutant: NO_TAKEOVER_WAIT
 * mutant: RATE_OF_START
 * mutant: RELEASE_WHILE_WAITING
 * mutant: SHORT_LOG
 */

#define WINDOW 2  /* ticks over which the cap counts */
#define TERM 3    /* ticks of a lease after its last confirmation */
#define CAP 2     /* requests in a window; lowered to 1 */
#define WAITING 3 /* requests that wait at one process */
#ifndef ENDS
#define ENDS 9    /* ticks of a run */
#endif
#define NEVER 255

byte now = 0;
byte cap[3];            /* cap in force at each process */
byte waiting[3];        /* reserved requests that were not sent */
byte log0[3];           /* tick + 1 of the newest admission of each process, or 0 */
byte log1[3];           /* tick + 1 of the admission before it, or 0 */
byte confirmed = 0;     /* tick of the last confirmation of the lease of process 1 */
bool revoked = false;   /* the lease of process 1 is confirmed no more */
bool released = false;  /* process 1 has given the shift back */
byte usable_at = NEVER; /* tick from which process 2 may use the shift */
byte sent0 = 0;         /* requests sent by both processes in this tick */
byte sent1 = 0;         /* and in the tick before it */

/* Process 1 reserves nothing more once it releases the shift, but learns late that the release was written. */
#define OWNS(p) (LEASE(p) && !(p == 1 && released))
#define LEASE(p) ((p == 1 && now < confirmed + TERM) || (p == 2 && now >= usable_at))

#ifdef NO_LEASE_CHECK
#define MAY_SEND(p) true
#else
#define MAY_SEND(p) LEASE(p)
#endif

#ifdef NO_SILENT_START
#define SILENT(p) false
#else
#define SILENT(p) (p == 2 && now < usable_at + WINDOW)
#endif

#ifdef NO_TAKEOVER_WAIT
#define WAIT 0
#else
#define WAIT TERM
#endif

#ifdef SHORT_LOG
#define SPAN (WINDOW - 1)
#else
#define SPAN WINDOW
#endif

#ifdef RATE_OF_START
#define RATE(p) CAP
#else
#define RATE(p) cap[p]
#endif

#ifdef RELEASE_WHILE_WAITING
#define UNUSED true
#else
#define UNUSED (waiting[1] == 0)
#endif

#define RECENT(at) (at != 0 && now + 1 - at < SPAN)
#define ROOM(p) ((RATE(p) == 1 && !RECENT(log0[p])) || (RATE(p) == 2 && !RECENT(log1[p])))

inline count(p)
{
	log1[p] = log0[p];
	log0[p] = now + 1
}

inline send(p)
{
	waiting[p]--;
	sent0++;
	assert(sent0 + sent1 <= cap[p])
}

proctype gateway(byte p)
{
	do
	:: atomic { OWNS(p) && !SILENT(p) && ROOM(p) && waiting[p] < WAITING ->
		waiting[p]++;
#ifdef COUNT_AT_RESERVATION
		count(p)
#endif
		}
#ifdef COUNT_AT_RESERVATION
	:: atomic { waiting[p] > 0 && MAY_SEND(p) -> send(p) }
#else
	:: atomic { waiting[p] > 0 && MAY_SEND(p) && !SILENT(p) && ROOM(p) -> count(p); send(p) }
#endif
	:: atomic { waiting[p] > 0 -> waiting[p]-- } /* rejected, or the caller went away */
	:: atomic { cap[p] == CAP -> cap[p] = 1 }
	:: now == ENDS -> break
	od
}

active proctype clock()
{
	atomic {
		cap[1] = CAP;
		cap[2] = CAP;
		run gateway(1);
		run gateway(2)
	}
	do
	:: atomic { now < ENDS -> now++; sent1 = sent0; sent0 = 0 }
	:: now == ENDS -> break
	od
}

active proctype owner()
{
	do
	:: atomic { !revoked -> confirmed = now }
	:: atomic { !revoked && !released -> revoked = true; usable_at = now + WAIT }
	:: atomic { !revoked && !released && UNUSED -> released = true; usable_at = now }
	:: now == ENDS -> break
	od
}
