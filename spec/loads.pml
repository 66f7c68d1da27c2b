/* The pin of a version and the load orders that result from the rules, with a side process that was paused.
 *
 * Two entry processes read the origin, whose content may change between the two reads, and each pins the digest
 * that it has read. A side process orders its engine to load the pinned weights, with the revision of the rules
 * as the fencing token. An earlier side process of the same VM was paused before it sent an older order, and
 * resumes. Invariants: a pin never changes once it is written; an engine that checks fencing tokens never
 * accepts a lower token than it has accepted before; a response is forwarded only if it was computed with the
 * weights agreed on when the call was admitted.
 *
 * Broken variants: PIN_ANY pins without comparing with an existing pin; NO_FENCE makes the engine accept lower
 * tokens; NO_DIGEST forwards responses without comparing their digest.
 */
byte published = 1;
byte pinned = 0;
byte loaded = 0;
byte highestFence = 0;
bool checksFence = true;

proctype Pinner() {
  byte digest;
  digest = published;
  atomic {
    if
#ifdef PIN_ANY
    :: true -> assert(pinned == 0 || pinned == digest); pinned = digest
#else
    :: pinned == 0 -> pinned = digest
    :: pinned != 0 -> skip
#endif
    fi
  }
}

proctype Origin() { published = 2 }

inline orderLoad(digest, fence) {
  atomic {
    if
#ifdef NO_FENCE
    :: true -> assert(!checksFence || fence >= highestFence); loaded = digest; highestFence = fence
#else
    :: checksFence && fence < highestFence -> skip
    :: checksFence && fence >= highestFence -> loaded = digest; highestFence = fence
    :: !checksFence -> loaded = digest
#endif
    fi
  }
}

/* Serves the pinned weights according to revision 2 of the rules. */
proctype Side() {
  byte expected;
  byte served;
  byte calls = 0;
  pinned != 0;
  expected = pinned;
  orderLoad(expected, 2);
  do
  :: calls < 2 ->
    calls++;
    served = loaded;
#ifdef NO_DIGEST
    assert(served == expected)
#else
    /* A response with another digest is aborted, and the load is ordered again. */
    if
    :: served == expected -> assert(served == expected)
    :: else -> orderLoad(expected, 2)
    fi
#endif
  :: calls == 2 -> break
  od
}

/* Resumes with the load order of revision 1 of the rules, for an earlier version whose digest is 9. */
proctype Paused() { orderLoad(9, 1) }

init {
  if
  :: checksFence = true
  :: checksFence = false
  fi;
  atomic { run Pinner(); run Pinner(); run Origin(); run Side(); run Paused() }
}
