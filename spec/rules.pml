/* Edits of the rules by two operators and their replication, with lost replies.
 *
 * Invariants: an edit takes effect at most once; an edit is accepted only if the rules are still at the revision
 * that it was based on; the revision in force at a process never decreases within one incarnation.
 *
 * Broken variants: BLIND_RETRY writes again without reading back; BLIND_WRITE writes without comparing the
 * revision; TAKE_ANY applies any revision of a peer, also an older one.
 */
byte revision = 0;
byte author = 0;
byte writes[3];
byte lostReplies = 0;
byte inForce[2];

proctype Operator(byte self) {
  byte base;
  bool accepted = false;
  bool replyLost;
  byte retries = 0;
  base = revision;
retry:
  atomic {
    replyLost = false;
    if
#ifdef BLIND_WRITE
    :: true -> assert(revision == base); revision++; author = self; writes[self]++; accepted = true
#else
    :: revision == base -> revision++; author = self; writes[self]++; accepted = true
    :: revision != base -> accepted = false
#endif
    fi;
    assert(writes[self] <= 1);
    if
    :: lostReplies < 1 -> lostReplies++; replyLost = true
    :: true -> skip
    fi
  };
  if
  :: replyLost && retries < 1 ->
    retries++;
#ifdef BLIND_RETRY
    base = revision;
    goto retry
#else
    if
    :: author == self -> skip
    :: else -> skip
    fi
#endif
  :: else -> skip
  fi
}

inline apply(process, candidate) {
#ifdef TAKE_ANY
  assert(candidate >= inForce[process]);
  inForce[process] = candidate
#else
  if
  :: candidate > inForce[process] -> inForce[process] = candidate
  :: else -> skip
  fi
#endif
}

proctype Process(byte process) {
  byte received;
  byte steps = 0;
  do
  :: steps < 4 -> steps++; received = revision; atomic { apply(process, received) }
  :: steps < 4 -> steps++; received = inForce[1 - process]; atomic { apply(process, received) }
  :: steps == 4 -> break
  od
}

init { atomic { run Operator(1); run Operator(2); run Process(0); run Process(1) } }
