/* Calls with the same idempotency key through two entry processes, with lost replies of the store.
 *
 * Invariant: the call runs at most once. Broken variants: LOST_IS_DONE treats a write whose reply was lost as
 * successful; RELEASE_ANY releases a claim without checking who holds it; NO_CLAIM runs the call without a claim.
 */
byte holder = 0;
byte runs = 0;
byte lostReplies = 0;

inline compareAndSwap(self) {
  atomic {
    if
    :: holder == 0 -> holder = self; acquired = true
    :: else -> acquired = false
    fi;
    replyLost = false;
    if
    :: lostReplies < 2 -> lostReplies++; replyLost = true
    :: true -> skip
    fi
  }
}

proctype Entry(byte self) {
  bool acquired;
  bool replyLost;
  byte retries = 0;
retry:
#ifdef NO_CLAIM
  acquired = true; replyLost = false;
#else
  compareAndSwap(self);
#endif
  if
  :: replyLost ->
#ifdef LOST_IS_DONE
    acquired = true
#else
    /* Reads the value back, which contains the ID of the claim. */
    acquired = (holder == self)
#endif
  :: else -> skip
  fi;
  if
  :: !acquired -> goto done
  :: else -> skip
  fi;
  if
  :: runs++; assert(runs <= 1)
  :: retries < 1 -> /* every upstream rejected the call as not run: the claim is released */
    retries++;
    atomic {
#ifdef RELEASE_ANY
      holder = 0
#else
      if
      :: holder == self -> holder = 0
      :: else -> skip
      fi
#endif
    };
#ifdef RELEASE_ANY
    /* The release may also be sent twice. */
    holder = 0;
#endif
    if
    :: goto retry
    :: goto done
    fi
  fi;
done:
  skip
}

init { atomic { run Entry(1); run Entry(2) } }
