/*
 * Models the leases described in docs/design.md, section 2, and implemented by the packages entry/lease and steer/owner.
 *
 * One member with up to three grantors owns one object. A second process takes the object over after a revocation, and a
 * third one gets it after a release. Time can advance by a tick at any moment, so every process can be paused between
 * any two steps; only the check of the lease and the write to the upstream are one step. A use lasts at most DEADLINE
 * ticks. Every write to the store may take effect at any later time or never, and its response may be lost.
 *
 * The model has no timeout for an unresponsive member; instead a grantor may withdraw at any time. Documents and
 * withdrawals may be delayed, and documents may be skipped. Steps may be delayed indefinitely, so the model includes
 * every behaviour during a store outage.
 *
 * A renewal request and its confirmation are one step, because a confirmation that arrives later only results in a
 * shorter lease. DELAYED_REPLIES makes them two steps; a full search with changes of the set of grantors then takes more
 * than 90 s, and one with CHANGES=0 completes.
 *
 * The two later owners are assumed to have valid leases. Only the process that takes the object over learns that the
 * member was removed, and it learns so immediately. Learning so later, or withdrawing or notifying others after the
 * removal, would only remove steps of the member or delay those of the next owner.
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
#define TERM 2     /* duration of a lease in ticks; quorum() depends on the value */
#define DEADLINE 2 /* maximum duration of a use in ticks */
#define GRANTORS 3

/*
 * All clocks advance together, so the takeover wait needs no margin for clock drift. It is one tick shorter than TERM +
 * DEADLINE, because a use that starts between two ticks lasts less than DEADLINE full ticks.
 */
#ifdef NO_TAKEOVER_WAIT
#define TAKEOVER_WAIT 0
#else
#ifdef WAIT_WITHOUT_DEADLINE
#define TAKEOVER_WAIT TERM
#else
#define TAKEOVER_WAIT (TERM + DEADLINE - 1)
#endif
#endif

/* Quorums of a set of k grantors: to confirm a lease, and to revoke it. */
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

/* Conditions that mutants remove. */
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
#define SAME_SET(g) (has(adopted[g], g))
#else
#define SAME_SET(g) (adopted[g] == member_epoch && has(member_epoch, g))
#endif
#ifdef CONFIRM_AFTER_WITHDRAWAL
#define NOT_WITHDRAWN(g) (true)
#else
#define NOT_WITHDRAWN(g) (!withdrawn[g])
#endif
#ifdef WITHDRAWAL_OF_OTHER_SET
#define CLEAR_WITHDRAWALS(g) skip
#else
#define CLEAR_WITHDRAWALS(g) withdrawals[g] = 0
#endif
#ifdef REVOKE_OTHER_SET
#define REVOCABLE (requested != 0)
#else
#define REVOCABLE ((requested >> current) & 1)
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

/* The ownership document. */
byte set[CHANGES + 1];  /* set of grantors of each epoch, as a bit mask */
byte current;           /* epoch of the current set */
bit listed = 1;         /* the document lists the member */
byte owner;             /* 0 the member, 1 the process that takes the object over, 2 the one that gets it after a release */

/* The member. */
byte member_epoch;        /* epoch of the set that the member has adopted */
byte confirmed[GRANTORS]; /* remaining ticks of the confirmations by that set */
byte valid;               /* remaining ticks of the lease */
bit changing;             /* the member doesn't count confirmations by that set */
bit unresolved;           /* a request to change the set succeeded, or its response was lost */
bit released;             /* the member has released the object */

/* A pending write of a new set. */
bit pending;
byte pending_base;      /* epoch of the set that the write is based on */

/* The grantors. A revocation that was requested may be written at any time. */
byte adopted[GRANTORS];     /* epoch of the set that each grantor has adopted */
bit withdrawn[GRANTORS];    /* the grantor has withdrawn from that set */
byte withdrawals[GRANTORS]; /* withdrawals of all grantors from that set that each grantor has seen, as a bit mask */
byte requested;             /* epochs of the sets whose revocation was requested, as a bit mask */

/* The process that takes the object over. */
byte wait;              /* remaining ticks of the takeover wait */

byte use[3];            /* remaining ticks of the use of the object by each process, or 0 */

#ifdef DELAYED_REPLIES
/* Pending confirmations: 0 for none, otherwise 1 + the ticks since the request was sent. */
byte reply[GRANTORS];
#define AGES (TERM + 2)
#endif

/* has(e, g): the set of epoch e contains grantor g. bits(m): the number of grantors in a set. */
#define has(e, g) ((set[e] >> (g)) & 1)
#define bits(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#ifdef CONFIRM_OTHER_SET
#define COUNTED(g) (true)
#else
#define COUNTED(g) (has(member_epoch, g))
#endif
/* at_least(v): the number of counted confirmations with at least v remaining ticks. */
#define at_least(v) ((COUNTED(0) && confirmed[0] >= v) + (COUNTED(1) && confirmed[1] >= v) + (COUNTED(2) && confirmed[2] >= v))
/* confirms(g): grantor g confirms the lease, and the member counts this. unused(p): no process other than p uses the object. */
#define confirms(g) (COUNTS && SAME_SET(g) && NOT_WITHDRAWN(g))
#define unused(p) (use[((p) + 1) % 3] == 0 && use[((p) + 2) % 3] == 0)

/* Extends the lease to the expiry of the confirmation that completes the newest quorum; never shortens it. */
inline quorum() {
	if
	:: at_least(2) >= CONFIRM(bits(set[member_epoch])) -> valid = 2
	:: else ->
		if
		:: at_least(1) >= CONFIRM(bits(set[member_epoch])) && valid < 1 -> valid = 1
		:: else
		fi
	fi
}

inline decrement(x) {
	x = (x > 0 -> x - 1 : 0)
}

inline grantor_adopts(g, e) {
	adopted[g] = e;
	withdrawn[g] = 0;
	CLEAR_WITHDRAWALS(g)
}

inline member_adopts(i) {
	member_epoch = current;
	changing = 0;
	unresolved = 0;
	i = 0;
	do
	:: i < GRANTORS ->
		confirmed[i] = 0;
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
	:: atomic { adopted[g] < current -> grantor_adopts(g, adopted[g] + 1) }
	:: atomic { adopted[g] + 1 < current -> grantor_adopts(g, current) }

	/* A withdrawal at any time, because the member is unresponsive or has a newer incarnation. */
	:: atomic { listed && has(adopted[g], g) && !withdrawn[g] ->
		withdrawn[g] = 1; withdrawals[g] = withdrawals[g] | (1 << g) }
#ifdef WITHDRAWAL_TAKEN_BACK
	:: atomic { withdrawn[g] -> withdrawn[g] = 0; withdrawals[g] = withdrawals[g] & (7 - (1 << g)) }
#endif
	/* Notifies the other grantors with the same set. */
	:: atomic { listed && withdrawn[g] && adopted[(g + 1) % 3] == adopted[g] ->
		h = (g + 1) % 3; withdrawals[h] = withdrawals[h] | (1 << g); h = 0 }
	:: atomic { listed && withdrawn[g] && adopted[(g + 2) % 3] == adopted[g] ->
		h = (g + 2) % 3; withdrawals[h] = withdrawals[h] | (1 << g); h = 0 }
	/* Requests the revocation once enough grantors have withdrawn. */
	:: atomic { listed && withdrawn[g] && bits(withdrawals[g] & set[adopted[g]]) >= REVOKE(bits(set[adopted[g]])) &&
		!((requested >> adopted[g]) & 1) ->
		requested = requested | (1 << adopted[g]) }

	/* Confirms a renewal by the member. */
#ifdef DELAYED_REPLIES
	:: atomic { reply[g] == 0 && confirms(g) -> reply[g] = 1 }
	:: atomic { reply[g] != 0 ->
		if
		:: COUNTS ->
#ifdef VALID_FROM_REPLY
			confirmed[g] = TERM;
#else
			if
			:: reply[g] - 1 < TERM && TERM + 1 - reply[g] > confirmed[g] -> confirmed[g] = TERM + 1 - reply[g]
			:: else
			fi;
#endif
			quorum()
		:: else
		fi;
		reply[g] = 0 }
#else
	:: atomic { confirms(g) && (confirmed[g] < TERM || valid < TERM) -> confirmed[g] = TERM; quorum() }
#endif
	od
}

proctype member() {
	byte i;
	do
	:: atomic { member_epoch < current -> member_adopts(i) }

	/* Renewal through the store: a read of a document that still lists the member with the set that it has adopted. */
	:: atomic { listed && member_epoch == current && valid < TERM -> valid = TERM }

	:: atomic { !released && CHECKED && use[0] == 0 -> assert(unused(0)); use[0] = DEADLINE }
	:: atomic { listed && owner == 0 && !released && UNUSED -> released = 1; owner = 2 }

	/* Change of the set: the member stops counting the old set before the write. */
	:: atomic { !changing && member_epoch < CHANGES ->
		changing = 1;
		if
		:: listed && member_epoch == current -> pending = 1; pending_base = member_epoch
		:: else
		fi }
	/* The steer rejects the change: nothing was written and, unless an earlier request is pending, nothing will be written. */
	:: atomic { changing && !unresolved -> pending = 0; pending_base = 0; changing = 0 }
	:: atomic { changing && unresolved && RESOLVED -> changing = 0 }
	/* The response is lost. */
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
	/* The pending write takes effect if the document still has the set that the write is based on, or never does. */
	:: atomic { pending && listed && current == pending_base && current < CHANGES ->
		current++;
		if
		:: set[current] = 7
		:: set[current] = 3
		:: set[current] = 4
		fi;
		pending = 0; pending_base = 0;
		if
		:: member_epoch < current -> unresolved = 1
		:: else
		fi }
	:: atomic { pending && unresolved -> pending = 0; pending_base = 0 }
	/* A revocation takes effect if the document still has the set from which enough grantors have withdrawn. */
	:: atomic { listed && REVOCABLE ->
		listed = 0;
		requested = 0; withdrawals[0] = 0; withdrawals[1] = 0; withdrawals[2] = 0;
		pending = 0; pending_base = 0;
		if
		:: owner == 0 -> owner = 1; wait = TAKEOVER_WAIT
		:: else
		fi }
	:: atomic {
		decrement(confirmed[0]); decrement(confirmed[1]); decrement(confirmed[2]);
		decrement(valid); decrement(wait); decrement(use[0]); decrement(use[1]); decrement(use[2]);
#ifdef DELAYED_REPLIES
		reply[0] = (reply[0] > 0 && reply[0] < AGES -> reply[0] + 1 : reply[0]);
		reply[1] = (reply[1] > 0 && reply[1] < AGES -> reply[1] + 1 : reply[1]);
		reply[2] = (reply[2] > 0 && reply[2] < AGES -> reply[2] + 1 : reply[2]);
#endif
		skip }
	od
}
