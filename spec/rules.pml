/* Edits of the rules by two operators and their spread, with lost replies and restarts.
 *
 * Invariants: an edit takes effect at most once; an edit is accepted only over the revision that it was
 * made from; what a process has in force never goes back within one incarnation.
 * Broken variants: BLIND_RETRY writes again without reading back; BLIND_WRITE writes without comparing;
 * TAKE_ANY takes any revision that a peer has.
 */
byte revision = 0;
byte author = 0;
byte took[3];
byte losses = 0;
byte have[2];

proctype Operator(byte me) {
  byte base;
  bool accepted = false;
  bool lost;
  byte tries = 0;
  base = revision;
again:
  atomic {
    lost = false;
    if
#ifdef BLIND_WRITE
    :: true -> assert(revision == base); revision++; author = me; took[me]++; accepted = true
#else
    :: revision == base -> revision++; author = me; took[me]++; accepted = true
    :: revision != base -> accepted = false
#endif
    fi;
    assert(took[me] <= 1);
    if
    :: losses < 1 -> losses++; lost = true
    :: true -> skip
    fi
  };
  if
  :: lost && tries < 1 ->
    tries++;
#ifdef BLIND_RETRY
    base = revision;
    goto again
#else
    if
    :: author == me -> skip
    :: else -> skip
    fi
#endif
  :: else -> skip
  fi
}

inline take(p, r) {
#ifdef TAKE_ANY
  assert(r >= have[p]);
  have[p] = r
#else
  if
  :: r > have[p] -> have[p] = r
  :: else -> skip
  fi
#endif
}

proctype Process(byte p) {
  byte seen;
  byte steps = 0;
  do
  :: steps < 4 -> steps++; seen = revision; atomic { take(p, seen) }
  :: steps < 4 -> steps++; seen = have[1 - p]; atomic { take(p, seen) }
  :: steps == 4 -> break
  od
}

init { atomic { run Operator(1); run Operator(2); run Process(0); run Process(1) } }
