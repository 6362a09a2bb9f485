// Settings distribution: two operators, lost and late answers of the store, a store outage, and a host that
// restarts during the outage and learns from its peer.
//
// Properties:
//   assertions  at most one content is accepted per revision; an operator learns the true outcome of a change;
//               the content in force is the accepted one; no process lowers its revision; none serves without one
//   converge    every accepted revision (or a later one) reaches every process if the outage ends
//   learns      a process without a revision learns one from its peer even if the outage never ends
//
// Stated limit: the revision floor holds for one incarnation. A restarted process that reaches only peers takes
// their highest revision, which may be lower than what its last incarnation had.
//
// Operators wait for the store while it is down, so an end state in an endless outage is no deadlock.
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
#define LOSSES    2 // answers of the store that may be lost
#endif

// The store. Change ids are 1 to 4; 0 means none.
bool up = true;
byte head_revision;
byte head_change;
bool written[CHANGES];   // content under a key with the change id
#ifdef SHARED_PARTS
byte shared[REVISIONS];  // content under a key without it
#endif
byte marker[REVISIONS];  // settings/rev/<N>/accepted
byte losses = LOSSES;    // answers that may still be lost

// History, not visible to any process.
byte accepted[REVISIONS];
bool forever;            // the outage never ends

// Head updates that the store has not received yet although their operator stopped waiting.
bool late[2];
byte late_base[2];
byte late_change[2];

// The hosts. Host 0 is the relay of host 1.
byte revision[2];
bool serving[2];
byte incarnation[2];
chan wire = [1] of { byte, byte };

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
		taken = true
#ifndef NO_CONDITION
	:: else -> taken = false
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

// put_in_force is config.Holder.Set.
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
	byte base, base_change, change, got;
	bool taken;
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
		:: losses > 0 -> losses--; taken = false; goto put // the answer is lost
		:: taken -> taken = false; goto accept
		:: !taken -> goto settle
		fi }
	:: atomic { up && losses > 0 && !late[o] -> // the call is still on its way
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
	:: got != change && change <= 2 -> change = change + 2; goto again // the edit is repeated once
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

// Variables that are no longer read are cleared, so that they do not multiply the states.
inline deliver(o) {
	late[o] = false;
	update_head(late_base[o], late_change[o]);
	late_base[o] = 0;
	late_change[o] = 0;
	taken = false
}

// Late delivers head updates after their operator stopped waiting.
proctype Late() {
	bool taken;
end:
	do
	:: atomic { up && late[0] -> deliver(0) }
	:: atomic { up && late[1] -> deliver(1) }
	od
}

// Poller reads the head and then its content; host 0 is woken by its watch, host 1 polls.
proctype Poller(byte h) {
	byte next, change, content, mine;
end:
	do
	:: atomic { up && head_revision > revision[h] ->
		next = head_revision;
		change = head_change;
		mine = incarnation[h] };
		if
		:: atomic { up ->
			read_content(next, change, content);
			if
			:: mine == incarnation[h] -> put_in_force(h, next, content)
			:: else
			fi;
			next = 0; change = 0; content = 0; mine = 0 }
		:: atomic { !up -> next = 0; change = 0; mine = 0 }
		fi
	od
}

// Relay tells host 1 each revision of host 0 once; the message may be late or lost.
proctype Relay() {
	byte sent;
end:
	do
	:: atomic { revision[0] > sent && nfull(wire) -> sent = revision[0]; wire!sent,accepted[sent] }
	od
}

proctype Receiver() {
	byte next, content;
end:
	do
	:: atomic { wire?next,content ->
		if
		:: put_in_force(1, next, content)
		:: skip // lost
		fi;
		next = 0; content = 0 }
	od
}

// Learner asks the peer for its revision while host 1 has none.
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

// Restart ends host 1 once and starts it again without memory.
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

proctype Outage() {
	up = false;
	if
	:: up = true
	:: forever = true
	fi
}

// Idle keeps every run infinite: with -f, pan misses violations of runs that end with all processes blocked.
proctype Idle() {
	do
	:: _nr_pr > 0 // always; pan refuses a literal true here
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
