/* Switch of the expert map by the pilots of a lock-step group.  The leader's
   commands are carried out and answered at once, or are lost and carried out
   at any later time without an answer, in any order; answered ones may leave
   such a late copy as well.  A leader may stop for good at any point, and two
   of them may be active at once; ranks restart.  No step may begin with two
   maps.

   Mechanisms that can be disabled, each of which must then be found missing:
   NO_FENCE    engines ignore fences
   NO_EPOCH    engines ignore the epoch of a command
   NO_HOLD     ranks are armed without a hold
   NOT_ALL     the group is released with one rank unarmed
   NO_ROUND    a switch is given up without a new fence
   NO_DISARM   a switch is given up without disarming
   REUSE_STEP  a hold may be of a step that was released before
   CLAIM_SOME  a new fence is sent to one rank only

   A new leader may prepare a map at a rank that has answered its claim while
   the other has not (EARLY).  Nothing else can be settled without the other
   rank; each of these must be found wrong:
   EARLY_ARM     the rank that has answered is armed and the group released
   EARLY_SETTLE  that rank is disarmed and released as if the other were not
                 armed

   A leader may move a switch for which all ranks are armed to an earlier step,
   after a new round (ADVANCE).  It must be found wrong
   ADVANCE_SAME_ROUND  without that round
   ADVANCE_NO_HOLD     without a hold of the earlier step  */

#define RANKS 2

#ifndef SLOTS
#define SLOTS 2 /* late commands on their way to a rank, 1 or 2 */
#endif
#ifndef LEADERS
#define LEADERS 2
#endif
#ifndef ROUNDS
#define ROUNDS 2
#endif
#ifndef STEPS
#define STEPS 4
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif

#define FENCE(term, round) ((term) * (ROUNDS + 1) + (round))

mtype = { none, prepare, arm, disarm, hold, release };
mtype = { done, conflict, fenced, lost };

typedef engine_t {
  byte fence;
  byte map;
  byte highest;
  byte prepared;
  byte armed;
  byte armed_step;
  byte held
};

typedef late_t {
  mtype kind = none;
  byte fence;
  byte epoch;
  byte version;
  byte step
};

engine_t engine[RANKS];
late_t late[RANKS * SLOTS];
byte step;
byte epoch = 1;

#ifdef NO_FENCE
#define IS_FENCED(r, f) false
#else
#define IS_FENCED(r, f) ((f) < engine[r].fence)
#endif
#ifdef NO_EPOCH
#define IS_OLD(ep) false
#else
#define IS_OLD(ep) ((ep) != epoch)
#endif

/* An engine carries out a command.  */
#define EXECUTE(r, k, f, ep, v, s)                                            \
verdict = done;                                                               \
if                                                                            \
:: IS_FENCED (r, f) -> verdict = fenced                                       \
:: !IS_FENCED (r, f) && IS_OLD (ep) -> verdict = conflict                     \
:: else ->                                                                    \
   if                                                                         \
   :: (f) > engine[r].fence -> engine[r].fence = f                            \
   :: else                                                                    \
   fi;                                                                        \
   if                                                                         \
   :: k == prepare && ((v) <= engine[r].highest || engine[r].armed != 0) ->   \
      verdict = conflict                                                      \
   :: k == prepare && (v) > engine[r].highest && engine[r].armed == 0 ->      \
      engine[r].highest = v; engine[r].prepared = v                           \
   :: k == arm && (engine[r].prepared != (v) || (s) <= step) ->               \
      verdict = conflict                                                      \
   :: k == arm && engine[r].prepared == (v) && (s) > step ->                  \
      engine[r].armed = v; engine[r].armed_step = s                           \
   :: k == disarm && engine[r].map == (v) -> verdict = conflict               \
   :: k == disarm && engine[r].map != (v) && engine[r].armed == (v) ->        \
      engine[r].armed = 0; engine[r].armed_step = 0                           \
   :: k == hold && engine[r].held != (s) &&                                   \
      (engine[r].held != 0 || (s) <= step) -> verdict = conflict           \
   :: k == hold && engine[r].held == 0 && (s) > step -> engine[r].held = s    \
   :: k == release && engine[r].held == (s) -> engine[r].held = 0             \
   :: else                                                                    \
   fi                                                                         \
fi

/* Puts a copy of a command on its way if there is room.  */
#define LEAVE_COPY(r, k, f, ep, v, s)                                         \
if                                                                            \
:: late[(r) * SLOTS].kind == none -> slot = (r) * SLOTS                       \
:: late[(r) * SLOTS].kind != none &&                                          \
   late[(r) * SLOTS + SLOTS - 1].kind == none ->                             \
   slot = (r) * SLOTS + SLOTS - 1                                             \
:: else -> slot = RANKS * SLOTS                                               \
fi;                                                                           \
if                                                                            \
:: slot < RANKS * SLOTS ->                                                    \
   late[slot].kind = k; late[slot].fence = f; late[slot].epoch = ep;          \
   late[slot].version = v; late[slot].step = s                                \
:: else                                                                       \
fi;                                                                           \
slot = 0

/* Sends a command once.  */
#define SEND(r, k, v, s)                                                      \
atomic {                                                                      \
  if                                                                          \
  :: true -> EXECUTE (r, k, FENCE (term, round), known, v, s)                 \
  :: true -> LEAVE_COPY (r, k, FENCE (term, round), known, v, s);             \
             EXECUTE (r, k, FENCE (term, round), known, v, s)                 \
  :: true -> LEAVE_COPY (r, k, FENCE (term, round), known, v, s);             \
             verdict = lost                                                   \
  fi                                                                          \
}

/* Carries out a late command.  */
proctype network (byte i)
{
  mtype verdict;

end:
  do
  :: atomic {
       late[i].kind != none ->
       EXECUTE (i / SLOTS, late[i].kind, late[i].fence, late[i].epoch,
                late[i].version, late[i].step);
       late[i].kind = none; late[i].fence = 0; late[i].epoch = 0;
       late[i].version = 0; late[i].step = 0;
       verdict = none
     }
  od
}

proctype steps ()
{
  byte r;

end:
  do
  :: atomic {
       step < STEPS && engine[0].held != step + 1 &&
       engine[1].held != step + 1 ->
       step++;
       r = 0;
       do
       :: r < RANKS ->
          if
          :: engine[r].armed != 0 && engine[r].armed_step <= step ->
             engine[r].map = engine[r].armed;
             engine[r].armed = 0; engine[r].armed_step = 0;
             engine[r].prepared = 0
          :: else
          fi;
          r++
       :: else -> break
       od;
       r = 0;
       assert (engine[0].map == engine[1].map)
     }
  od
}

/* A rank restarts: the group is formed again without maps.  */
proctype restarts ()
{
  byte count, r, crashed;

end:
  do
  :: atomic {
       count < RESTARTS ->
       count++;
       epoch++;
       if
       :: crashed = 0
       :: crashed = 1
       fi;
       r = 0;
       do
       :: r < RANKS ->
          engine[r].map = 0; engine[r].prepared = 0;
          engine[r].armed = 0; engine[r].armed_step = 0;
          engine[r].held = 0;
          if
          :: r == crashed -> engine[r].fence = 0; engine[r].highest = 0
          :: else
          fi;
          r++
       :: else -> break
       od;
       r = 0;
       crashed = 0
     }
  od
}

/* Sends a command until it is answered, or stops for good.  CONFLICTED is
   where a rejected one leads.  */
#define SEND_UNTIL_DONE(r, k, v, s, conflicted)                               \
  do                                                                          \
  :: true -> goto stopped                                                     \
  :: true ->                                                                  \
     SEND (r, k, v, s);                                                       \
     if                                                                       \
     :: verdict == done -> break                                              \
     :: verdict == fenced -> goto stopped                                     \
     :: verdict == conflict -> goto conflicted                                \
     :: else                                                                  \
     fi                                                                       \
  od

/* Sends a command once, whatever the answer.  */
#define SEND_ONCE(r, k, v, s)                                                 \
  SEND (r, k, v, s);                                                          \
  if                                                                          \
  :: verdict == fenced -> goto stopped                                        \
  :: else                                                                     \
  fi

proctype leader (byte term)
{
  byte round, known, version, at, r, slot;
  byte used; /* highest step held or released in this round */
  mtype verdict;

claim:
  if
  :: round == ROUNDS -> goto stopped
  :: else
  fi;
  round++;
  known = epoch;
  /* Releases of earlier rounds are rejected once all ranks have answered.  */
  used = 0;
  r = 0;
  do
#ifdef EARLY
  :: false ->
#else
#ifdef CLAIM_SOME
  :: r < 1 ->
#else
  :: r < RANKS ->
#endif
#endif
     SEND_UNTIL_DONE (r, release, 0, 0, claim);
     r++
  :: else -> break
  od;
#ifdef EARLY
  if
  :: r = 0
  :: r = 1
  fi;
  SEND_UNTIL_DONE (r, release, 0, 0, claim);
  /* What that rank reports is final now; the other one does not answer.  */
  version = FENCE (term, round);
#ifdef EARLY_SETTLE
  if
  :: engine[r].armed != 0 -> SEND_ONCE (r, disarm, engine[r].armed, 0)
  :: else
  fi;
  if
  :: engine[r].held != 0 -> SEND_ONCE (r, release, 0, engine[r].held)
  :: else
  fi;
#endif
  if
  :: engine[r].armed == 0 && engine[r].held == 0 ->
     SEND_ONCE (r, prepare, version, 0)
  :: true
  fi;
#ifdef EARLY_ARM
  at = step + 2;
  SEND_ONCE (r, hold, 0, at);
  SEND_ONCE (r, arm, version, at);
  SEND_ONCE (r, release, 0, at);
#endif
  r = 1 - r;
  SEND_UNTIL_DONE (r, release, 0, 0, claim);
#endif

#ifdef ADVANCE_SAME_ROUND
advance:
#endif
recover:
  /* All ranks reject earlier commands, so that what they report is final.  */
#ifdef ADVANCE
  if
  :: engine[0].armed != 0 && engine[0].armed == engine[1].armed &&
     engine[0].armed_step == engine[1].armed_step &&
     engine[0].armed_step > step + 1 &&
     engine[0].held == 0 && engine[1].held == 0 ->
     version = engine[0].armed;
     at = step + 1;
     goto hold_group
  :: true
  fi;
#endif
  if
  :: engine[0].armed == engine[1].armed &&
     engine[0].armed_step == engine[1].armed_step
  :: else ->
     r = 0;
     do
#ifndef NO_DISARM
     :: r < RANKS && engine[r].armed != 0 ->
        version = engine[r].armed;
        SEND_UNTIL_DONE (r, disarm, version, 0, claim);
        r++
     :: r < RANKS && engine[r].armed == 0 -> r++
#endif
     :: else -> break
     od
  fi;
  r = 0;
  do
  :: r < RANKS && engine[r].held != 0 ->
     at = engine[r].held;
     if
     :: at > used -> used = at
     :: else
     fi;
     SEND_UNTIL_DONE (r, release, 0, at, claim);
     r++
  :: r < RANKS && engine[r].held == 0 -> r++
  :: else -> break
  od;

  /* The switch; its version rises with the fence.  */
  if
  :: engine[0].armed != 0 || engine[1].armed != 0 -> goto stopped
  :: else
  fi;
  version = FENCE (term, round);
  r = 0;
  do
#ifdef EARLY
  :: r < RANKS && engine[r].prepared == version -> r++
  :: r < RANKS && engine[r].prepared != version ->
#else
  :: r < RANKS ->
#endif
     SEND_UNTIL_DONE (r, prepare, version, 0, stopped);
     r++
  :: else -> break
  od;
  at = step + 2;
#ifndef REUSE_STEP
  if
  :: at <= used -> at = used + 1
  :: else
  fi;
#endif
hold_group:
  if
  :: at > used -> used = at
  :: else
  fi;
#ifdef ADVANCE_NO_HOLD
  if
  :: engine[0].armed != 0 -> goto arm_ranks
  :: else
  fi;
#endif
#ifndef NO_HOLD
  SEND_UNTIL_DONE (1, hold, 0, at, claim);
#endif
arm_ranks:
  r = 0;
  do
#ifdef NOT_ALL
  :: r < RANKS - 1 ->
#else
  :: r < RANKS ->
#endif
     do
     :: true -> goto give_up
     :: true ->
        SEND (r, arm, version, at);
        if
        :: verdict == done -> break
        :: verdict == fenced -> goto stopped
        :: verdict == conflict -> goto give_up
        :: else
        fi
     od;
     r++
  :: else -> break
  od;
  SEND_UNTIL_DONE (1, release, 0, at, claim);
#ifdef ADVANCE_SAME_ROUND
  if
  :: true -> goto advance
  :: true
  fi;
#endif
#ifdef ADVANCE
  goto claim;
#endif
  goto stopped;

give_up:
#ifdef NO_ROUND
  goto recover;
#else
  goto claim;
#endif

stopped:
  skip
}

init
{
  byte i;

  atomic {
    i = 0;
    do
    :: i < RANKS * SLOTS -> run network (i); i++
    :: else -> break
    od;
    run steps ();
    run restarts ();
    i = 1;
    do
    :: i <= LEADERS -> run leader (i); i++
    :: else -> break
    od
  }
}
