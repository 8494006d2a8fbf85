/*
 * Orders and authority: two controllers, one engine that checks fencing numbers
 * and one that ignores them, one entry VM with at most one stream on each engine.
 *
 * Time is abstracted away: a lease may be taken over at any moment, a process
 * may stand still between any two steps for any length of time (pause), and a
 * copy of an order may arrive at any later moment or be lost. So nothing here
 * rests on clocks. A hard deadline shows only as the certainty that a copy which
 * is not answered is at some time gone: account waits for that.
 *
 * Labels and inlines carry the names of the functions in packages lease and
 * order. Each -DNO_GUARD_x removes one guard; `make model-mutants` demands that
 * a violation is found each time.
 *
 * Invariants:
 *   1  An order takes effect only while the journal's row of the engine holds
 *      it and is open, and never while another order runs (no two conflicting
 *      orders).
 *   2  An order takes effect only while no stream is on the engine, and no stream
 *      is started on an engine that an order has taken away (no stream cut).
 *   3  An order takes effect only if it was journaled under the lease of that
 *      moment (no effect without authority), and one that was closed as not run
 *      never ran.
 */

#ifndef FENCES
#define FENCES 3	/* tenures */
#endif
#ifndef ORDERS
#define ORDERS 2	/* different orders, for both engines together */
#endif
#ifndef KILLS
#define KILLS 1		/* controllers killed */
#endif
#ifndef CRASHES
#define CRASHES 1	/* engine crashes */
#endif
#define SLOTS 2		/* copies under way to one engine */
#define CHECKED 0	/* the engine that refuses an old fencing number */
#define IGNORED 1	/* the engine that doesn't */
#ifdef ONLY		/* one of the two engines alone, to search deeper */
#define USES(e) (ONLY == (e))
#else
#define USES(e) true
#endif
#define ANY 255		/* an order that names no incarnation */

/* The table service. leaseFence is the lease's row. */
byte leaseFence;
byte rowVersion[2];
byte rowOrder[2];
bool rowOpen[2];
byte rowInc[2];
byte rowSenders[2];	/* a bit for each controller */

/* The controllers. dropped is the gate's: fences up to it send nothing more. */
byte dropped[2];
byte kills = KILLS;
byte nextOrder;

/* Copies under way: order, fence, incarnation, sender. Order zero is a free slot. */
byte copyOrder[4];
byte copyFence[4];
byte copyInc[4];
byte copyFrom[4];

/* The engines. */
byte inc[2];
byte highest[2];
byte last[2];		/* the last order accepted by this incarnation */
bool running[2];
byte crashes = CRASHES;

/* The entry VM. */
bool withheld[2];
byte epochSeen[2];
bool stream[2];

/* What only the invariants look at. */
bool underLease[ORDERS + 1];
bool ran[ORDERS + 1];

#define sender(e, who)	((rowSenders[e] & (1 << (who))) != 0)
#ifdef NO_GUARD_FENCE
#define fenced	true
#else
#define fenced	(highest[e] >= f || inc[e] != i)
#endif
#define raised(e)	((e) == IGNORED || highest[e] >= f)
#define slot(e, k)	((e) * SLOTS + (k))
#define under(e, k, who)	(copyOrder[slot(e, k)] != 0 && copyFrom[slot(e, k)] == (who))
#define inFlight(e, who)	(under(e, 0, who) || under(e, 1, who))
#define owned(e, k, who, f)	(under(e, k, who) && copyFence[slot(e, k)] == (f))
#define inFlightAt(e, who, f)	(owned(e, 0, who, f) || owned(e, 1, who, f))

#define older(e, k, who, f)	(under(e, k, who) && copyFence[slot(e, k)] != (f))
#define inFlightBefore(e, who, f)	(older(e, 0, who, f) || older(e, 1, who, f))

#ifdef NO_GUARD_LEASE
#define holds(f)	true
#else
#define holds(f)	(leaseFence == (f))
#endif

/* Between two steps a process may be killed; a new one takes its address. */
#define MAYBE_KILLED	if :: true :: kills > 0 -> kills--; goto killed fi

inline clear(e, k) {
	copyOrder[slot(e, k)] = 0;
	copyFence[slot(e, k)] = 0;
	copyInc[slot(e, k)] = 0;
	copyFrom[slot(e, k)] = 0
}

/* An engine reads one copy. */
inline deliver(e, k) {
	if
	:: copyInc[slot(e, k)] != inc[e] && copyInc[slot(e, k)] != ANY -> skip	/* IncarnationError */
	:: else ->
		if
		:: e == CHECKED && copyFence[slot(e, k)] < highest[e] -> skip	/* StaleFenceError */
		:: else ->
			if
			:: e == CHECKED -> highest[e] = copyFence[slot(e, k)]
			:: else
			fi;
			if
			:: copyOrder[slot(e, k)] == last[e] -> skip	/* idempotent */
			:: else ->
				if
				:: running[e] -> skip	/* BusyError */
				:: else ->
					assert(rowOpen[e] && rowOrder[e] == copyOrder[slot(e, k)]);	/* 1 */
					assert(underLease[copyOrder[slot(e, k)]]);	/* 3 */
					assert(!stream[e]);	/* 2 */
					last[e] = copyOrder[slot(e, k)];
					ran[last[e]] = true;
					running[e] = true
				fi
			fi
		fi
	fi;
	clear(e, k)
}

proctype Engine(byte e) {
	byte k;
	do
	:: atomic { copyOrder[slot(e, 0)] != 0 -> deliver(e, 0) }
	:: atomic { copyOrder[slot(e, 1)] != 0 -> deliver(e, 1) }
	/* The connection's hard deadline passes: the copy is lost. */
	:: atomic { copyOrder[slot(e, 0)] != 0 -> clear(e, 0) }
	:: atomic { copyOrder[slot(e, 1)] != 0 -> clear(e, 1) }
	:: d_step { running[e] -> running[e] = false }	/* the order ends */
	:: d_step { crashes > 0 -> crashes--; inc[e]++; last[e] = 0; running[e] = false; highest[e] = 0; stream[e] = false }
	od
}

proctype Entry(byte e) {
	do
	:: atomic { !stream[e] && !withheld[e] -> assert(!running[e]); stream[e] = true }	/* 2 */
	:: d_step { stream[e] -> stream[e] = false }
	od
}

inline put(k) {
	copyOrder[slot(e, k)] = o;
	copyFence[slot(e, k)] = f;
#ifdef NO_GUARD_INCARNATION
	copyInc[slot(e, k)] = ANY;
#else
	copyInc[slot(e, k)] = i;
#endif
	copyFrom[slot(e, k)] = me
}

proctype Controller(byte me) {
	byte f, e, o, i, v;
	bool isOpen, written;
	bool giveUp, crashed;	/* the outcome that drive saw: NotRun, SupersededByCrash, else Done */

contend:
	skip;
	/* Holder.take. A lease that ran out is not needed for it: see the top. */
	atomic { leaseFence < FENCES -> leaseFence++; f = leaseFence }

lead:
	atomic {
		MAYBE_KILLED;
		if :: USES(CHECKED) -> e = CHECKED :: USES(IGNORED) -> e = IGNORED fi;
		/* Journal.Read */
		v = rowVersion[e]; isOpen = rowOpen[e]; o = rowOrder[e]; i = rowInc[e]
	};
	if
	:: isOpen -> goto Adopt
	:: !isOpen && nextOrder < ORDERS -> goto Open
	:: !isOpen -> goto lead
	:: goto contend_again
	fi;

Open:
	atomic {
		nextOrder < ORDERS -> nextOrder++; o = nextOrder;
		i = inc[e]
	};
#ifndef NO_GUARD_JOURNAL
	atomic {
		MAYBE_KILLED;
		written = false;
		if
		:: holds(f) && rowVersion[e] == v ->
			if
			:: written = true	/* applied, whether or not the answer came */
			:: skip			/* lost on its way */
			fi
		:: else
		fi;
		if
		:: written ->
			rowVersion[e]++; rowOrder[e] = o; rowOpen[e] = true; rowInc[e] = i;
			rowSenders[e] = 1 << me; v = rowVersion[e];
			underLease[o] = (leaseFence == f)
		:: else
		fi
	};
#ifndef NO_GUARD_SETTLE
	/* table.CommitAndResolve: the write's own id is read back. */
	if :: written :: !written -> goto lead_or_lost fi;
#endif
#endif
	goto complete;

Adopt:
	MAYBE_KILLED;
#ifdef NO_GUARD_ONE_OPEN
	/* Open takes the open row for a closed one. */
	if :: nextOrder < ORDERS -> goto Open :: true fi;
#endif
#ifndef NO_GUARD_ADOPT
	atomic {
		if
		:: holds(f) && rowVersion[e] == v ->
			rowVersion[e]++; v = rowVersion[e];
			rowSenders[e] = rowSenders[e] | (1 << me);
			written = true
		:: else -> written = false
		fi
	};
	if :: written :: !written -> goto lead_or_lost fi;
#endif

complete:
#ifndef NO_GUARD_WITHHOLD
	/* Sender.withhold. The epoch is the fence. */
	atomic {
		MAYBE_KILLED;
		if
		:: epochSeen[e] <= f -> epochSeen[e] = f; withheld[e] = true; written = true
		:: else -> written = false
		fi
	};
	if
	:: !written -> goto lost
	:: written && !stream[e]
	:: written && leaseFence != f -> goto lost
	fi;
#endif

drive:
	/* Sender.look and progress */
	atomic {
		MAYBE_KILLED;
		written = false;
		if
		:: leaseFence != f -> goto lost
		:: inc[e] != i -> crashed = true; goto account
		:: inc[e] == i && !running[e] && last[e] != o -> goto send
		:: inc[e] == i && !running[e] && last[e] != o -> giveUp = true; goto account	/* Timing.Tries are used up */
		:: inc[e] == i && !running[e] && last[e] == o && !raised(e) -> goto send
		:: inc[e] == i && !running[e] && last[e] == o -> goto account	/* at once if raised, else tries used up */
		fi
	};

send:
	/* Gate.enter: the check and the note of the copy are one step. */
	atomic {
		MAYBE_KILLED;
#ifndef NO_GUARD_GATE
		if
		:: dropped[me] >= f -> goto lost
		:: else
		fi;
#endif
		if
		:: copyOrder[slot(e, 0)] == 0 -> put(0)
		:: copyOrder[slot(e, 0)] != 0 && copyOrder[slot(e, 1)] == 0 -> put(1)
		:: else	/* UnreachableError before anything was sent */
		fi
	};
	goto drive;

account:
	MAYBE_KILLED;
#ifndef NO_GUARD_ACCOUNT
	/* Sender.waitQuiet */
	if
	:: !inFlightAt(e, me, f)
	:: leaseFence != f -> goto lost
	fi;
#endif
#ifndef NO_GUARD_CONFIRM
	/* Sender.confirm, unless the engine refuses older copies by itself. */
	if
	:: e == CHECKED && fenced -> goto lookAgain
	:: !(e == CHECKED && fenced) -> skip
	fi;
	if
	:: atomic { !sender(e, 1 - me) -> skip }
	:: atomic { sender(e, 1 - me) && !inFlight(e, 1 - me) ->
		if
		:: dropped[1 - me] < f - 1 -> dropped[1 - me] = f - 1
		:: else
		fi }
	:: leaseFence != f -> goto lost
	fi;
	/* An earlier process of this VM: Responder.proves. */
	if
	:: !inFlightBefore(e, me, f)
	:: leaseFence != f -> goto lost
	fi;
#endif

lookAgain:
	/* Sender.end looks at the engine again after account. */
	atomic {
		MAYBE_KILLED;
#ifndef NO_GUARD_LOOK
		if
		:: giveUp && inc[e] == i && last[e] != o && !running[e] -> skip
		:: crashed -> skip
		:: !giveUp && !crashed && inc[e] == i -> skip
		:: giveUp && !(inc[e] == i && last[e] != o && !running[e]) -> giveUp = false; goto drive
		:: !giveUp && !crashed && inc[e] != i -> goto drive
		fi
#endif
	};

Restore:
	atomic {
		MAYBE_KILLED;
#ifdef NO_GUARD_EPOCH
		withheld[e] = false
#else
		if
		:: epochSeen[e] <= f -> epochSeen[e] = f; withheld[e] = false
		:: else
		fi
#endif
	};

Close:
	atomic {
		MAYBE_KILLED;
		if
		:: holds(f) && rowVersion[e] == v ->
			rowVersion[e]++; rowOpen[e] = false; rowOrder[e] = 0; rowInc[e] = 0; rowSenders[e] = 0;
			assert(!giveUp || !ran[o])	/* 3 */
		:: else
		fi
	};

lead_or_lost:
	atomic {
		o = 0; i = 0; v = 0; e = 0;
		isOpen = false; written = false; giveUp = false; crashed = false
	};
	if
	:: leaseFence == f -> goto lead
	:: goto contend_again
	fi;

killed:
	/* All that the process knew is gone; its copies are not. */
	skip;
lost:
	skip;
contend_again:
	skip;
	atomic {
		if :: dropped[me] < f -> dropped[me] = f :: else fi;
		f = 0; o = 0; i = 0; v = 0; e = 0;
		isOpen = false; written = false; giveUp = false; crashed = false
	};
	goto contend
}

init {
	atomic {
		if :: USES(CHECKED) -> run Engine(CHECKED); run Entry(CHECKED) :: else fi;
		if :: USES(IGNORED) -> run Engine(IGNORED); run Entry(IGNORED) :: else fi;
		run Controller(0);
		run Controller(1)
	}
}
