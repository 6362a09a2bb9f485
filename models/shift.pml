/*
 * Models the cap of a shift while its gateway changes and requests are queued (entry/limit/shift.go,
 * entry/proxy/attempt.go).
 *
 * Time advances in ticks; WINDOW ticks represent the second to which the cap applies. Process 1 owns the shift while
 * its lease is valid. Process 2 is the next owner: immediately if process 1 releases the shift, and after the takeover
 * wait if the lease is revoked. A request is reserved, waits for bandwidth and a connection, is counted and is sent.
 * Time can pass between any two of these steps except the last two, which also covers a paused process. Operators
 * lower the cap once, and each process applies the lower cap at any later time.
 *
 * Property: whenever a process sends a request, the number of requests that both processes sent within WINDOW ticks is
 * at most the cap in force at the sending process.
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

#define WINDOW 2  /* ticks to which the cap applies */
#define TERM 3    /* ticks of a lease after its last confirmation */
#define CAP 2     /* requests per window, later lowered to 1 */
#define WAITING 3 /* queued requests per process */
#ifndef ENDS
#define ENDS 9    /* ticks of a run */
#endif
#define NEVER 255

byte now = 0;
byte cap[3];            /* cap in force at each process */
byte waiting[3];        /* reserved requests that have not been sent */
byte log0[3];           /* tick + 1 of the newest admission of each process, or 0 */
byte log1[3];           /* tick + 1 of the second newest admission, or 0 */
byte confirmed = 0;     /* tick of the last confirmation of the lease of process 1 */
bool revoked = false;   /* the lease of process 1 is no longer confirmed */
bool released = false;  /* process 1 has released the shift */
byte usable_at = NEVER; /* tick from which process 2 may use the shift */
byte sent0 = 0;         /* requests sent by both processes in this tick */
byte sent1 = 0;         /* requests sent by both processes in the previous tick */

/*
 * Once process 1 releases the shift, it reserves no more requests. Its lease stays valid, because the process learns only
 * later that the release was written.
 */
#define OWNS(p) (LEASE(p) && !(p == 1 && released))
#define LEASE(p) ((p == 1 && now < confirmed + TERM) || (p == 2 && now >= usable_at))

#ifdef NO_LEASE_CHECK
#define MAY_SEND(p) true
#else
#define MAY_SEND(p) LEASE(p)
#endif

/* Process 2 admits nothing during its first window, because process 1 may just have used the whole cap. */
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

/* ROOM(p): the cap of process p permits another admission. RECENT(entry): a log entry is within the window. */
#define RECENT(entry) (entry != 0 && now + 1 - entry < SPAN)
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
	:: atomic { waiting[p] > 0 -> waiting[p]-- } /* rejected, or the caller disconnected */
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
