/* The same keyed call through two entry processes, with replies of the store that are lost.
 *
 * Invariant: the call runs at most once. Broken variants: LOST_IS_DONE takes a write whose reply was
 * lost for done; RELEASE_ANY takes a claim back without looking whose it is; NO_CLAIM runs without one.
 */
byte holder = 0;
byte runs = 0;
byte losses = 0;

inline swap(me) {
  atomic {
    if
    :: holder == 0 -> holder = me; won = true
    :: else -> won = false
    fi;
    lost = false;
    if
    :: losses < 2 -> losses++; lost = true
    :: true -> skip
    fi
  }
}

proctype Entry(byte me) {
  bool won;
  bool lost;
  byte tries = 0;
again:
#ifdef NO_CLAIM
  won = true; lost = false;
#else
  swap(me);
#endif
  if
  :: lost ->
#ifdef LOST_IS_DONE
    won = true
#else
    /* The value is read back: it holds the ID of the claim. */
    won = (holder == me)
#endif
  :: else -> skip
  fi;
  if
  :: !won -> goto done
  :: else -> skip
  fi;
  if
  :: runs++; assert(runs <= 1)
  :: tries < 1 -> /* refused as not run by every upstream: the claim is taken back */
    tries++;
    atomic {
#ifdef RELEASE_ANY
      holder = 0
#else
      if
      :: holder == me -> holder = 0
      :: else -> skip
      fi
#endif
    };
#ifdef RELEASE_ANY
    /* Its own release may also be sent twice. */
    holder = 0;
#endif
    if
    :: goto again
    :: goto done
    fi
  fi;
done:
  skip
}

init { atomic { run Entry(1); run Entry(2) } }
