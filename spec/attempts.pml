/* One attempt over unreliable connections to a side process that may restart.
 *
 * The entry process sends Run on the first connection, on which the network may delay the request for any
 * length of time or deliver it twice. When no response arrives in time, the entry process sends Attach on a
 * second connection. Invariants: the attempt runs at most once, and if the caller has received "not run", the
 * attempt runs neither before nor after that.
 *
 * Broken variants: NO_STRIKE starts an attempt in spite of its tombstone; NO_KNOWN starts an attempt whose ID is
 * already recorded; NO_INCARNATION and ATTACH_ANY_INCARNATION don't compare the incarnation of the side process
 * in Run and in Attach.
 */
mtype = { Run, Refused, Answer, Broken };

chan runRequests = [2] of { mtype, byte };
chan runReplies = [2] of { mtype };
chan attachRequests = [1] of { byte };
chan attachReplies = [1] of { mtype };

byte incarnation = 1;
bool recorded = false;
bool tombstone = false;
byte runs = 0;
bool reportedNotRun = false;
byte restarts = 0;

inline start() {
  recorded = true;
  runs++;
  assert(runs <= 1);
  assert(!reportedNotRun)
}

active proctype Side() {
  byte expected;
  do
  :: runRequests?Run(expected) ->
    atomic {
      if
#ifndef NO_INCARNATION
      :: expected != incarnation -> runReplies!Refused
#endif
#ifndef NO_STRIKE
      :: tombstone -> runReplies!Refused
#endif
#ifndef NO_KNOWN
      :: recorded -> runReplies!Refused
#endif
      :: else -> start(); runReplies!Answer
      fi
    }
  :: attachRequests?expected ->
    atomic {
      if
#ifndef ATTACH_ANY_INCARNATION
      :: expected != incarnation -> attachReplies!Broken
#endif
      :: recorded -> attachReplies!Answer
      :: else -> tombstone = true; attachReplies!Refused
      fi
    }
  :: atomic { restarts < 1 -> restarts++; incarnation++; recorded = false; tombstone = false }
  od
}

active proctype Entry() {
  mtype reply;
  /* The network may deliver the request twice. */
  runRequests!Run(1);
  if
  :: runRequests!Run(1)
  :: skip
  fi;
  if
  :: runReplies?reply ->
    if
    :: reply == Refused -> atomic { reportedNotRun = true; assert(runs == 0) }
    :: else -> skip
    fi
  :: true -> /* no response arrives on the first connection */
    attachRequests!1;
    attachReplies?reply;
    if
    :: reply == Refused -> atomic { reportedNotRun = true; assert(runs == 0) }
    :: else -> skip
    fi
  fi
}
