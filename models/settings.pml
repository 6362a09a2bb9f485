// Models the distribution of settings with two operators, lost responses of the store, delayed head updates, a store
// outage, and a host that restarts during the outage and gets its revision from its peer.
//
// Properties:
//   assertions  At most one content is accepted per revision. An operator learns the true outcome of a change. The
//               content in force is the accepted one. No process lowers its revision or serves without a revision.
//   converge    If the outage ends, every accepted revision or a later one reaches every process.
//   learns      A process without a revision gets one from its peer, even if the outage never ends.
//
// Known limitation: within one incarnation a process never lowers its revision, but a restarted process that reaches only
// peers adopts their highest revision, which may be lower than that of its previous incarnation.
//
// Operators wait for the store during an outage. If the outage never ends, they stay blocked. This is not a
// deadlock, so -E ignores invalid end states.
// run: -E
// bounded: -DLOSSES=1
// ltl: converge
// ltl: learns
// mutant: NO_CONDITION
// mutant: NO_CHANGE_ID
// mutant: NO_MARKER
// mutant: SHARED_PARTS
// mutant: HEAD_FIRST
// mutant: NO_FLOOR
// mutant: SERVE_UNLEARNED
// mutant: NO_POLL converge
// mutant: NO_PEER learns

#define REVISIONS 3
#define CHANGES   5
#ifndef LOSSES
#define LOSSES    2 // lost responses and delayed head updates in one run
#endif

// The store. Change IDs are 1 to 4; 0 means none.
bool up = true;
byte head_revision;
byte head_change;
bool written[CHANGES];   // content whose key contains the change ID
#ifdef SHARED_PARTS
byte shared[REVISIONS];  // content whose key contains only the revision
#endif
byte marker[REVISIONS];  // settings/rev/<N>/accepted
byte losses = LOSSES;    // lost responses and delayed head updates that are still possible

// Accepted content of each revision, for the assertions. A host with a revision in force has this content, so Relay and
// Learner also read it as the content of the host.
byte accepted[REVISIONS];
bool forever;            // the outage never ends

// Head updates that the store has not received yet, but whose operators have stopped waiting.
bool late[2];
byte late_base[2];
byte late_change[2];

// The hosts. Host 0 is the relay of host 1.
byte revision[2];
bool serving[2];
byte incarnation[2];
chan relayed = [1] of { byte, byte }; // revision and content that host 0 sends to host 1

inline update_head(base, change) {
	if
#ifdef NO_CONDITION
	:: true ->
#else
	:: head_revision == base ->
#endif
		assert(accepted[base + 1] == 0 || accepted[base + 1] == change);
		accepted[base + 1] = change;
		head_revision = base + 1;
		head_change = change;
		updated = true
#ifndef NO_CONDITION
	:: else -> updated = false
#endif
	fi
}

inline write_content(next, change) {
	written[change] = true
#ifdef SHARED_PARTS
	; shared[next] = change
#endif
}

inline read_content(next, change, content) {
#ifdef SHARED_PARTS
	content = shared[next]
#else
	if
	:: written[change] -> content = change
	:: else -> content = 0
	fi
#endif
}

// put_in_force models config.Holder.Set.
inline put_in_force(h, next, content) {
	if
#ifdef NO_FLOOR
	:: true ->
#else
	:: next > revision[h] ->
#endif
		assert(next >= revision[h]);
		assert(content == accepted[next]);
		revision[h] = next;
		serving[h] = true
#ifndef NO_FLOOR
	:: else
#endif
	fi
}

proctype Operator(byte o) {
	byte base, base_change, change;
	byte got; // ID of the change that was accepted as the next revision, or 0 if not known
	bool updated;
	change = o + 1;
again:
	atomic { up -> base = head_revision; base_change = head_change; got = 0 };
	if
	:: base + 1 >= REVISIONS -> goto done
	:: else
	fi;
#ifndef HEAD_FIRST
	atomic { up -> write_content(base + 1, change) };
#endif
#ifndef NO_MARKER
	if
	:: base > 0 -> atomic { up -> marker[base] = base_change }
	:: else
	fi;
#endif
put:
	if
	:: atomic { up ->
		update_head(base, change);
		if
		:: losses > 0 -> losses--; updated = false; goto put // the response is lost
		:: updated -> updated = false; goto accept
		:: !updated -> goto settle
		fi }
	:: atomic { up && losses > 0 && !late[o] -> // the call is delayed
		losses--;
		late[o] = true;
		late_base[o] = base;
		late_change[o] = change;
		goto put }
	fi;
settle:
	atomic { up ->
		if
		:: head_revision == base + 1 -> got = head_change
		:: else -> got = marker[base + 1]
		fi };
#ifdef NO_CHANGE_ID
	got = 0;
#else
	assert(got != 0);
#endif
	assert((got == change) == (accepted[base + 1] == change));
	if
	:: got == change -> goto accept
	:: got != change && change <= 2 -> change = change + 2; goto again // the operator submits the edit once more
	:: else -> goto done
	fi;
accept:
	assert(accepted[base + 1] == change);
#ifdef HEAD_FIRST
	atomic { up -> write_content(base + 1, change) };
#endif
done:
	atomic { base = 0; base_change = 0; change = 0; got = 0 }
}

// deliver applies a delayed head update. It clears variables that are no longer read, to keep the state space small.
inline deliver(o) {
	late[o] = false;
	update_head(late_base[o], late_change[o]);
	late_base[o] = 0;
	late_change[o] = 0;
	updated = false
}

// Late delivers the delayed head updates to the store.
proctype Late() {
	bool updated;
end:
	do
	:: atomic { up && late[0] -> deliver(0) }
	:: atomic { up && late[1] -> deliver(1) }
	od
}

// Poller reads the head and then its content. On host 0 it models the watch, on host 1 polling. Content
// that was read for an earlier incarnation is discarded.
proctype Poller(byte h) {
	byte next, change, content, started_in;
end:
	do
	:: atomic { up && head_revision > revision[h] ->
		next = head_revision;
		change = head_change;
		started_in = incarnation[h] };
		if
		:: atomic { up ->
			read_content(next, change, content);
			if
			:: started_in == incarnation[h] -> put_in_force(h, next, content)
			:: else
			fi;
			next = 0; change = 0; content = 0; started_in = 0 }
		:: atomic { !up -> next = 0; change = 0; started_in = 0 }
		fi
	od
}

// Relay sends each revision of host 0 to host 1 once. The message may be delayed or lost.
proctype Relay() {
	byte sent;
end:
	do
	:: atomic { revision[0] > sent && nfull(relayed) -> sent = revision[0]; relayed!sent,accepted[sent] }
	od
}

// Receiver adopts the revisions that host 1 receives from its relay.
proctype Receiver() {
	byte next, content;
end:
	do
	:: atomic { relayed?next,content ->
		if
		:: put_in_force(1, next, content)
		:: skip // the message is lost
		fi;
		next = 0; content = 0 }
	od
}

// Learner gets the revision of the peer while host 1 has none.
proctype Learner() {
end:
	do
	:: atomic { revision[1] == 0 && revision[0] > 0 ->
#ifdef NO_PEER
		break
#else
		put_in_force(1, revision[0], accepted[revision[0]])
#endif
		}
	od
}

// Restart restarts host 1 once; the new incarnation has no revision.
proctype Restart() {
	atomic {
		incarnation[1]++;
		revision[1] = 0;
#ifdef SERVE_UNLEARNED
		serving[1] = true;
#else
		serving[1] = false;
#endif
		assert(!serving[1] || revision[1] > 0)
	}
}

// Outage starts an outage of the store, which may never end.
proctype Outage() {
	up = false;
	if
	:: up = true
	:: forever = true
	fi
}

// Idle makes every run infinite, because pan -f misses violations of runs that end with all processes blocked.
proctype Idle() {
	do
	:: _nr_pr > 0 // always true; pan rejects a literal true here
	od
}

init {
	atomic {
		run Operator(0);
		run Operator(1);
		run Late();
		run Poller(0);
#ifndef NO_POLL
		run Poller(1);
#endif
		run Relay();
		run Receiver();
		run Learner();
		run Restart();
		run Outage();
		run Idle()
	}
}

ltl converge { <> forever || <> [] (revision[0] == head_revision && revision[1] == head_revision) }
ltl learns { [] (revision[0] > 0 -> <> (revision[1] > 0)) }
