/* The pin of a version and the load orders that follow from the rules, with a process that was paused.
 *
 * Two entry processes read the origin, whose content may change between, and pin what they read. A side
 * process orders its engine by the rules' revision as the fencing number; an earlier side process of the
 * same VM was paused with an old order and wakes. Invariants: the pin never changes once it is made; an
 * engine that checks never loads by an older number than it has seen; no answer is passed on from
 * anything but the content that was agreed when the call was admitted.
 * Broken variants: PIN_ANY pins without comparing; NO_FENCE lets the engine take old numbers; NO_DIGEST
 * passes answers on without looking at their digest.
 */
byte content = 1;
byte pinned = 0;
byte engineHolds = 0;
byte engineFence = 0;
bool checks = true;

proctype Pinner() {
  byte read;
  read = content;
  atomic {
    if
#ifdef PIN_ANY
    :: true -> assert(pinned == 0 || pinned == read); pinned = read
#else
    :: pinned == 0 -> pinned = read
    :: pinned != 0 -> skip
#endif
    fi
  }
}

proctype Origin() { content = 2 }

inline order(digest, fence) {
  atomic {
    if
#ifdef NO_FENCE
    :: true -> assert(!checks || fence >= engineFence); engineHolds = digest; engineFence = fence
#else
    :: checks && fence < engineFence -> skip
    :: checks && fence >= engineFence -> engineHolds = digest; engineFence = fence
    :: !checks -> engineHolds = digest
#endif
    fi
  }
}

/* Serves what was pinned, under revision 2 of the rules. */
proctype Side() {
  byte agreed;
  byte answered;
  byte calls = 0;
  pinned != 0;
  agreed = pinned;
  order(agreed, 2);
  do
  :: calls < 2 ->
    calls++;
    answered = engineHolds;
#ifdef NO_DIGEST
    assert(answered == agreed)
#else
    /* An answer with another digest is broken off, and the engine is ordered anew. */
    if
    :: answered == agreed -> assert(answered == agreed)
    :: else -> order(agreed, 2)
    fi
#endif
  :: calls == 2 -> break
  od
}

/* Wakes with the order of revision 1, for an earlier version with content 9. */
proctype Paused() { order(9, 1) }

init {
  if
  :: checks = true
  :: checks = false
  fi;
  atomic { run Pinner(); run Pinner(); run Origin(); run Side(); run Paused() }
}
