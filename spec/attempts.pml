/* One attempt, over connections that break, with a side process that may restart.
 *
 * The entry process sends Run on the first connection, where the network may hold it back and deliver
 * it at any later time, or twice. When it has had enough of waiting, it asks by Attach on a second
 * connection. Invariants: the attempt runs at most once, and it never runs, before or after, if the
 * caller was told that it has not run.
 *
 * Broken variants: NO_STRIKE, NO_KNOWN, NO_INCARNATION, ATTACH_ANY_INCARNATION.
 */
mtype = { Run, Refused, Answer, Broken };

chan first = [2] of { mtype, byte };
chan firstReply = [2] of { mtype };
chan second = [1] of { byte };
chan secondReply = [1] of { mtype };

byte incarnation = 1;
bool known = false;
bool struck = false;
byte runs = 0;
bool toldNotRun = false;
byte restarts = 0;

inline start() {
  known = true;
  runs++;
  assert(runs <= 1);
  assert(!toldNotRun)
}

active proctype Side() {
  byte meant;
  do
  :: first?Run(meant) ->
    atomic {
      if
#ifndef NO_INCARNATION
      :: meant != incarnation -> firstReply!Refused
#endif
#ifndef NO_STRIKE
      :: struck -> firstReply!Refused
#endif
#ifndef NO_KNOWN
      :: known -> firstReply!Refused
#endif
      :: else -> start(); firstReply!Answer
      fi
    }
  :: second?meant ->
    atomic {
      if
#ifndef ATTACH_ANY_INCARNATION
      :: meant != incarnation -> secondReply!Broken
#endif
      :: known -> secondReply!Answer
      :: else -> struck = true; secondReply!Refused
      fi
    }
  :: atomic { restarts < 1 -> restarts++; incarnation++; known = false; struck = false }
  od
}

active proctype Entry() {
  mtype reply;
  /* The network may deliver the message twice. */
  first!Run(1);
  if
  :: first!Run(1)
  :: skip
  fi;
  if
  :: firstReply?reply ->
    if
    :: reply == Refused -> atomic { toldNotRun = true; assert(runs == 0) }
    :: else -> skip
    fi
  :: true -> /* the connection is silent */
    second!1;
    secondReply?reply;
    if
    :: reply == Refused -> atomic { toldNotRun = true; assert(runs == 0) }
    :: else -> skip
    fi
  fi
}
