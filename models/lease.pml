/*
 * Leases of docs/design.md, section 2, and of the packages entry/lease and steer/owner.
 *
 * One member with up to three grantors owns one object; a second process takes the object over after a revocation, and
 * a third one gets it after a release. Time passes in ticks at any moment, so every process can be paused between any
 * two steps; only the check of the lease and the write to the upstream are one step. A use lasts at most DEADLINE
 * ticks. Every write to the store may take effect at any later time or never, and its answer may be lost. Silence is
 * not modelled: a grantor may withdraw at any time. Documents and withdrawals may be delayed, and documents skipped.
 * As steps may be put off for ever, every behaviour during an outage of the store is a behaviour of the model. A
 * request and its confirmation are one step, because a confirmation that arrives later only gives a shorter lease;
 * DELAYED_REPLIES makes them two; then a full search with changes of the set takes more than 90 s, and CHANGES=0 ends.
 * The two processes that come after the member are assumed to have valid leases. Nobody learns of the removal but the
 * process that takes over, and it at once: to learn later, or to withdraw or tell others
 * after the removal, only takes steps away from the member or puts off those of the next owner.
 *
 * Property: no process starts to use the object while another process uses it.
 *
 * pan: -DNOREDUCE -DHC4
 *
 * mutant: ONE_CONFIRMATION
 * mutant: ONE_WITHDRAWAL
 * mutant: VALID_FROM_REPLY
 * mutant: NO_TAKEOVER_WAIT
 * mutant: WAIT_WITHOUT_DEADLINE
 * mutant: OLD_SET_COUNTED
 * mutant: REFUSAL_BELIEVED
 * mutant: CONFIRM_OTHER_SET
 * mutant: CONFIRM_AFTER_WITHDRAWAL
 * mutant: WITHDRAWAL_TAKEN_BACK
 * mutant: WITHDRAWAL_OF_OTHER_SET
 * mutant: REVOKE_OTHER_SET
 * mutant: NO_CHECK_BEFORE_USE
 * mutant: RELEASE_WHILE_IN_USE
 * mutant: RELEASE_WHILE_WAITING
 */

#ifndef CHANGES
#define CHANGES 1  /* changes of the set of grantors */
#endif
#define TERM 2     /* ticks of a lease; quorum() depends on it */
#define DEADLINE 2 /* ticks of the longest use */
#define GRANTORS 3

/* All clocks tick at once, so the waits need no margin for drift. A use that starts between two ticks takes less than
 * DEADLINE ticks in full. */
#ifdef NO_TAKEOVER_WAIT
#define TAKEOVER_WAIT 0
#else
#ifdef WAIT_WITHOUT_DEADLINE
#define TAKEOVER_WAIT TERM
#else
#define TAKEOVER_WAIT (TERM + DEADLINE - 1)
#endif
#endif

/* Quorums of a set of k grantors. */
#ifdef ONE_CONFIRMATION
#define CONFIRM(k) (1)
#else
#define CONFIRM(k) ((k) == 3 -> 2 : 1)
#endif
#ifdef ONE_WITHDRAWAL
#define REVOKE(k) (1)
#else
#define REVOKE(k) ((k) == 1 -> 1 : 2)
#endif

/* Conditions that mutants leave out. */
#ifdef OLD_SET_COUNTED
#define COUNTS (true)
#else
#define COUNTS (!changing)
#endif
#ifdef REFUSAL_BELIEVED
#define RESOLVED (true)
#else
#define RESOLVED (!unresolved)
#endif
#ifdef CONFIRM_OTHER_SET
#define SAME_SET(g) (has(known[g], g))
#else
#define SAME_SET(g) (known[g] == mine && has(mine, g))
#endif
#ifdef CONFIRM_AFTER_WITHDRAWAL
#define NOT_WITHDRAWN(g) (true)
#else
#define NOT_WITHDRAWN(g) (!withdrawn[g])
#endif
#ifdef WITHDRAWAL_OF_OTHER_SET
#define FORGET(g) skip
#else
#define FORGET(g) heard[g] = 0
#endif
#ifdef REVOKE_OTHER_SET
#define REVOCABLE (asked != 0)
#else
#define REVOCABLE ((asked >> present) & 1)
#endif
#ifdef NO_CHECK_BEFORE_USE
#define CHECKED (true)
#else
#define CHECKED (valid > 0)
#endif
#ifdef RELEASE_WHILE_IN_USE
#define UNUSED (true)
#else
#define UNUSED (use[0] == 0)
#endif
#ifdef RELEASE_WHILE_WAITING
#define WAITED (true)
#else
#define WAITED (wait == 0)
#endif
#ifdef VALID_FROM_REPLY
#define DELAYED_REPLIES
#endif

/* The document: the set of each epoch as a bit mask, the epoch of the present set, the member, the object's owner. */
byte set[CHANGES + 1];
byte present;
bit listed = 1;
byte owner;             /* 0 the member, 1 the process that takes over, 2 the one that gets a released object */

/* The member. */
byte mine;              /* epoch of the set that it knows */
byte answer[GRANTORS];  /* ticks left of the confirmations of the set that it knows */
byte valid;             /* ticks left of the lease */
bit changing;           /* it does not count the set that it knows */
bit unresolved;         /* a request to change the set has been answered with success or not at all */
bit released;

/* One write of another set that is under way. */
bit put;
byte put_from;

/* The grantors. */
byte known[GRANTORS];
bit withdrawn[GRANTORS]; /* it has withdrawn from the set that it knows */
byte heard[GRANTORS];    /* known withdrawals from that set, as a bit mask */
byte asked;              /* epochs of the sets for which a revocation was asked for; each may be written at any time */

/* The process that takes over. */
byte wait;              /* ticks left until it may use the object */

byte use[3];

#ifdef DELAYED_REPLIES
/* Confirmations under way: 0 none, or 1 + the ticks since the request was sent. */
byte reply[GRANTORS];
#define AGES (TERM + 2)
#endif

#define has(e, g) ((set[e] >> (g)) & 1)
#define bits(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#ifdef CONFIRM_OTHER_SET
#define COUNTED(g) (true)
#else
#define COUNTED(g) (has(mine, g))
#endif
#define at_least(v) ((COUNTED(0) && answer[0] >= v) + (COUNTED(1) && answer[1] >= v) + (COUNTED(2) && answer[2] >= v))
#define confirms(g) (COUNTS && SAME_SET(g) && NOT_WITHDRAWN(g))
#define unused(p) (use[((p) + 1) % 3] == 0 && use[((p) + 2) % 3] == 0)

/* The lease lasts as long as the confirmation that completes the newest quorum; it never becomes shorter. */
inline quorum() {
	if
	:: at_least(2) >= CONFIRM(bits(set[mine])) -> valid = 2
	:: else ->
		if
		:: at_least(1) >= CONFIRM(bits(set[mine])) && valid < 1 -> valid = 1
		:: else
		fi
	fi
}

inline down(x) {
	x = (x > 0 -> x - 1 : 0)
}

inline grantor_learns(g, e) {
	known[g] = e;
	withdrawn[g] = 0;
	FORGET(g)
}

inline member_learns(i) {
	mine = present;
	changing = 0;
	unresolved = 0;
	i = 0;
	do
	:: i < GRANTORS ->
		answer[i] = 0;
#ifdef DELAYED_REPLIES
		reply[i] = 0;
#endif
		i++
	:: else -> break
	od;
	i = 0
}

proctype grantor(byte g) {
	byte h;
	do
	/* Documents arrive in order or with gaps. */
	:: atomic { known[g] < present -> grantor_learns(g, known[g] + 1) }
	:: atomic { known[g] + 1 < present -> grantor_learns(g, present) }

	/* A withdrawal at any time, for silence or a newer incarnation. */
	:: atomic { listed && has(known[g], g) && !withdrawn[g] -> withdrawn[g] = 1; heard[g] = heard[g] | (1 << g) }
#ifdef WITHDRAWAL_TAKEN_BACK
	:: atomic { withdrawn[g] -> withdrawn[g] = 0; heard[g] = heard[g] & (7 - (1 << g)) }
#endif
	/* It tells the other grantors of the same set. */
	:: atomic { listed && withdrawn[g] && known[(g + 1) % 3] == known[g] -> h = (g + 1) % 3; heard[h] = heard[h] | (1 << g); h = 0 }
	:: atomic { listed && withdrawn[g] && known[(g + 2) % 3] == known[g] -> h = (g + 2) % 3; heard[h] = heard[h] | (1 << g); h = 0 }
	/* Once enough have withdrawn, it asks for the revocation. */
	:: atomic { listed && withdrawn[g] && bits(heard[g] & set[known[g]]) >= REVOKE(bits(set[known[g]])) && !((asked >> known[g]) & 1) ->
		asked = asked | (1 << known[g]) }

	/* The member renews. */
#ifdef DELAYED_REPLIES
	:: atomic { reply[g] == 0 && confirms(g) -> reply[g] = 1 }
	:: atomic { reply[g] != 0 ->
		if
		:: COUNTS ->
#ifdef VALID_FROM_REPLY
			answer[g] = TERM;
#else
			if
			:: reply[g] - 1 < TERM && TERM + 1 - reply[g] > answer[g] -> answer[g] = TERM + 1 - reply[g]
			:: else
			fi;
#endif
			quorum()
		:: else
		fi;
		reply[g] = 0 }
#else
	:: atomic { confirms(g) && (answer[g] < TERM || valid < TERM) -> answer[g] = TERM; quorum() }
#endif
	od
}

proctype member() {
	byte i;
	do
	:: atomic { mine < present -> member_learns(i) }

	/* Renewal through the store: a read that still lists the member with the set that it knows. */
	:: atomic { listed && mine == present && valid < TERM -> valid = TERM }

	:: atomic { !released && CHECKED && use[0] == 0 -> assert(unused(0)); use[0] = DEADLINE }
	:: atomic { listed && owner == 0 && !released && UNUSED -> released = 1; owner = 2 }

	/* Change of the set: it stops counting the old one before the write. */
	:: atomic { !changing && mine < CHANGES ->
		changing = 1;
		if
		:: listed && mine == present -> put = 1; put_from = mine
		:: else
		fi }
	/* The steer refuses: nothing was written and, unless an earlier request is under way, nothing will be. */
	:: atomic { changing && !unresolved -> put = 0; put_from = 0; changing = 0 }
	:: atomic { changing && unresolved && RESOLVED -> changing = 0 }
	/* The answer is lost. */
	:: atomic { changing && !unresolved -> unresolved = 1 }
	od
}

proctype next_owner() {
	do
	:: atomic { owner == 1 && wait == 0 && use[1] == 0 -> assert(unused(1)); use[1] = DEADLINE }
	:: atomic { owner == 1 && WAITED && use[1] == 0 -> owner = 2; wait = 0 }
	:: atomic { owner == 2 && use[2] == 0 -> assert(unused(2)); use[2] = DEADLINE }
	od
}

/* The store and time. */
active proctype environment() {
	atomic {
		set[0] = 7;
		if
		:: set[0] = 7
		:: set[0] = 3
		:: set[0] = 4
		fi;
		valid = TERM;
		run member(); run next_owner(); run grantor(0); run grantor(1); run grantor(2)
	}
	do
	/* The write under way takes effect if the member still has the set that it was based on; or it never does. */
	:: atomic { put && listed && present == put_from && present < CHANGES ->
		present++;
		if
		:: set[present] = 7
		:: set[present] = 3
		:: set[present] = 4
		fi;
		put = 0; put_from = 0;
		if
		:: mine < present -> unresolved = 1
		:: else
		fi }
	:: atomic { put && unresolved -> put = 0; put_from = 0 }
	/* A revocation takes effect if the member still has the set that enough grantors have withdrawn from. */
	:: atomic { listed && REVOCABLE ->
		listed = 0;
		asked = 0; heard[0] = 0; heard[1] = 0; heard[2] = 0;
		put = 0; put_from = 0;
		if
		:: owner == 0 -> owner = 1; wait = TAKEOVER_WAIT
		:: else
		fi }
	:: atomic {
		down(answer[0]); down(answer[1]); down(answer[2]);
		down(valid); down(wait); down(use[0]); down(use[1]); down(use[2]);
#ifdef DELAYED_REPLIES
		reply[0] = (reply[0] > 0 && reply[0] < AGES -> reply[0] + 1 : reply[0]);
		reply[1] = (reply[1] > 0 && reply[1] < AGES -> reply[1] + 1 : reply[1]);
		reply[2] = (reply[2] > 0 && reply[2] < AGES -> reply[2] + 1 : reply[2]);
#endif
		skip }
	od
}
