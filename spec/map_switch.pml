/* The expert-map switch of a lock-step group; see docs/MAP-SWITCH.md.

   A ballot is one fence (epoch and round) with the coordinator that uses it;
   a higher number is a higher fence.  Ballots run side by side, so each may be
   that of a paused coordinator, and one that makes no progress is that of a
   dead one.  What a ballot sends stays deliverable for ever: messages are
   late, repeated, out of sequence, or lost when a higher fence comes first.
   Every run is finite, so what must happen at last is checked where nothing
   more can happen.  Loading of weights changes no map and is left out.

   Engines ignore fences; the agent beside each is the fence.  With BALLOTS=1
   the store is down: nobody gets a new epoch.  Macros that take one mechanism
   out: NO_FENCE, NO_INCARNATION, NO_CONFIRM, NO_READ_BACK, NO_HOLD, NOT_ALL,
   ABORT_ANYWAY, NO_FIRST_STEP, NO_TAKE_OVER, NO_RISE.  NO_END_CHECK checks safety alone.  */

#ifndef RANKS
#define RANKS 2
#endif
#ifndef BALLOTS
#define BALLOTS 4
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef SWITCHES
#define SWITCHES 1 /* ballots 1 to SWITCHES change the map */
#endif
#define STEPS 2

/* group_version_after: higher than V, and of no other ballot.  The group starts
   with version 1.  */
#ifdef NO_RISE
#define VERSION_AFTER(v) (8 + b)
#else
#define VERSION_AFTER(v) ((v / 8 + 1) * 8 + b)
#endif

/* group_phase_t */
#define GROUP_NO_MAP 0
#define GROUP_STEADY 1
#define GROUP_ARMED 2
#define GROUP_COMMITTED 3

/* group_engine_command_kind_t */
#define NONE 0
#define ENGINE_JOIN 1
#define ENGINE_ARM 2
#define ENGINE_COMMIT 3
#define ENGINE_ABORT 4

typedef schedule_t {
  byte phase;
  byte base;
  byte next;
  byte step
}

typedef rank_t {
  /* The agent: lost when it restarts.  */
  byte incarnation;
  byte promised;
  byte closed_version;
  /* The engine.  */
  schedule_t schedule;
  byte entered; /* map used in the step under way, 0 before it is entered */
  /* The order on its way from the agent to the engine.  The agent says and
     does nothing until the order was taken and the state read back.  */
  byte order;
  byte order_ballot
}

typedef view_t {
  bit has_promised;
  bit has_confirmed;
  bit is_armed;
  bit is_done;
  bit is_arm_tried;
  byte incarnation;
  schedule_t schedule
}

typedef ballot_t {
  bit is_confirm_sent;
  bit is_settle_sent;
  bit is_arm_sent;
  bit is_commit_sent;
  bit is_abort_sent;
  byte version; /* that it switches to */
  byte arm_step;
  schedule_t target;
  view_t ranks[RANKS]
}

rank_t ranks[RANKS];
ballot_t ballots[BALLOTS + 1];
byte step = 1;
byte restarts = 0;
bit is_last_begun = 0; /* no more faults: the last ballot must end well */

#define MINE ranks[r]
#define HAVE ranks[r].schedule
#define VIEW ballots[b].ranks[r]
#define TARGET ballots[b].target

#ifdef NO_FENCE
#define FENCE_HOLDS true
#else
#define FENCE_HOLDS (MINE.promised == b)
#endif
#ifdef NO_INCARNATION
#define INCARNATION_HOLDS true
#else
#define INCARNATION_HOLDS (MINE.incarnation == VIEW.incarnation)
#endif
#ifdef NO_READ_BACK
#define IS_SETTLED true
#else
#define IS_SETTLED (MINE.order == NONE)
#endif
#define ORDER_HOLDS (IS_SETTLED && FENCE_HOLDS && INCARNATION_HOLDS)
#define CAN_SEND (ORDER_HOLDS && MINE.order == NONE)

#define FINAL(schedule)                                                       \
  (schedule.phase == GROUP_COMMITTED -> schedule.next : schedule.base)
#define AT_TARGET                                                             \
  ((HAVE.phase == GROUP_STEADY || HAVE.phase == GROUP_COMMITTED)              \
   && FINAL (HAVE) == FINAL (TARGET))

#define IS_SETTLING_COMMIT                                                    \
  (ballots[b].is_settle_sent && TARGET.phase == GROUP_COMMITTED               \
   && VIEW.schedule.phase == GROUP_ARMED                                      \
   && VIEW.schedule.next == TARGET.next)
#define IS_SETTLING_ABORT                                                     \
  (ballots[b].is_settle_sent && VIEW.schedule.phase == GROUP_ARMED            \
   && !IS_SETTLING_COMMIT)

inline send_to_engine (kind)
{
  MINE.order = kind;
  MINE.order_ballot = b
}

inline copy_schedule (to, from)
{
  to.phase = from.phase;
  to.base = from.base;
  to.next = from.next;
  to.step = from.step
}

/* The agent beside rank R, towards ballot B.  */
proctype agent (byte r; byte b)
{
end:
  do
  :: atomic {
      (b > MINE.promised && IS_SETTLED) ->
      MINE.promised = b;
      is_last_begun = is_last_begun || b == BALLOTS;
      if
      :: !ballots[b].is_confirm_sent ->
        VIEW.has_promised = 1;
        VIEW.incarnation = MINE.incarnation;
#ifdef NO_CONFIRM
        copy_schedule (VIEW.schedule, HAVE)
#endif
      :: else
      fi
    }
  :: atomic {
      (ballots[b].is_confirm_sent && !VIEW.has_confirmed && ORDER_HOLDS) ->
      VIEW.has_confirmed = 1;
#ifndef NO_CONFIRM
      copy_schedule (VIEW.schedule, HAVE)
#endif
    }
  :: atomic {
      (ballots[b].is_settle_sent && VIEW.schedule.phase == GROUP_NO_MAP
        && CAN_SEND && HAVE.phase == GROUP_NO_MAP) ->
      send_to_engine (ENGINE_JOIN)
    }
  :: atomic {
      (ballots[b].is_arm_sent && !VIEW.is_arm_tried && CAN_SEND
        && HAVE.phase == GROUP_STEADY
        && ballots[b].version > MINE.closed_version) ->
      VIEW.is_arm_tried = 1;
      send_to_engine (ENGINE_ARM)
    }
  :: atomic {
      (ballots[b].is_arm_sent && !VIEW.is_armed && ORDER_HOLDS
        && HAVE.phase == GROUP_ARMED && HAVE.next == ballots[b].version) ->
      VIEW.is_armed = 1
    }
  :: atomic {
      ((ballots[b].is_commit_sent || IS_SETTLING_COMMIT) && CAN_SEND
        && HAVE.phase == GROUP_ARMED && HAVE.next == TARGET.next) ->
      MINE.closed_version = TARGET.next;
      send_to_engine (ENGINE_COMMIT)
    }
  :: atomic {
      (ballots[b].is_abort_sent && CAN_SEND
        && MINE.closed_version < ballots[b].version) ->
      assert (HAVE.base != ballots[b].version
              && (HAVE.phase != GROUP_COMMITTED || HAVE.next != ballots[b].version));
      MINE.closed_version = ballots[b].version;
      if
      :: (HAVE.phase == GROUP_ARMED && HAVE.next == ballots[b].version) ->
        send_to_engine (ENGINE_ABORT)
      :: else
      fi
    }
  :: atomic {
      (IS_SETTLING_ABORT && CAN_SEND && HAVE.phase == GROUP_ARMED
        && HAVE.next == VIEW.schedule.next) ->
      send_to_engine (ENGINE_ABORT)
    }
  :: atomic {
      (ballots[b].is_settle_sent && !VIEW.is_done && ORDER_HOLDS && AT_TARGET) ->
      VIEW.is_done = 1
    }
  od
}

/* The engine of rank R.  It takes an order long after it was sent, perhaps
   when the agent that sent it is gone.  */
proctype engine (byte r)
{
  byte b;

end:
  do
  :: atomic {
      (MINE.order != NONE) ->
      b = MINE.order_ballot;
      if
      :: (MINE.order == ENGINE_JOIN && HAVE.phase == GROUP_NO_MAP) ->
        copy_schedule (HAVE, TARGET)
      :: (MINE.order == ENGINE_ARM && HAVE.phase == GROUP_STEADY
          && (ballots[b].arm_step > step
              || (ballots[b].arm_step == step && MINE.entered == 0))) ->
        HAVE.phase = GROUP_ARMED;
        HAVE.next = ballots[b].version;
        HAVE.step = ballots[b].arm_step
      :: (MINE.order == ENGINE_COMMIT && HAVE.phase == GROUP_ARMED
          && HAVE.next == TARGET.next) ->
        HAVE.phase = GROUP_COMMITTED
      :: (MINE.order == ENGINE_ABORT && HAVE.phase == GROUP_ARMED) ->
        HAVE.phase = GROUP_STEADY;
        HAVE.next = 0;
        HAVE.step = 0
      :: else
      fi;
      MINE.order = NONE;
      MINE.order_ballot = 0;
      b = 0
    }
  :: atomic {
      /* Enter the step under way.  */
      (MINE.entered == 0 && step <= STEPS && HAVE.phase != GROUP_NO_MAP
#ifndef NO_HOLD
        && !(HAVE.phase == GROUP_ARMED && step >= HAVE.step)
#endif
      ) ->
      if
      :: (HAVE.phase == GROUP_COMMITTED && step >= HAVE.step) ->
        HAVE.phase = GROUP_STEADY;
        HAVE.base = HAVE.next;
        HAVE.next = 0;
        HAVE.step = 0
      :: else
      fi;
      MINE.entered = HAVE.base
    }
  od
}

#define BUDGET_LEFT                                                           \
  (restarts < RESTARTS && !is_last_begun)

/* Restarts of rank R: its agent, its engine, or both.  */
proctype fault (byte r)
{
  byte i;
  bit is_engine;

end:
  do
  :: atomic {
      (BUDGET_LEFT) ->
      restarts++;
      MINE.incarnation++;
      if
      :: MINE.promised = 0; MINE.closed_version = 0
      :: is_engine = 1
      :: MINE.promised = 0; MINE.closed_version = 0; is_engine = 1
      fi;
      if
      :: is_engine ->
        HAVE.phase = GROUP_NO_MAP;
        HAVE.base = 0;
        HAVE.next = 0;
        HAVE.step = 0;
        MINE.order = NONE;
        MINE.order_ballot = 0;
        /* The step under way is void for all.  */
        for (i : 0 .. RANKS - 1) { ranks[i].entered = 0 }
      :: else
      fi;
      i = 0;
      is_engine = 0
    }
  od
}

/* The group finishes a step once every rank entered it.  */
proctype group ()
{
  byte i;
  bit is_whole;

end:
  do
  :: atomic {
      (step <= STEPS && ranks[0].entered != 0 && ranks[1].entered != 0
#if RANKS > 2
        && ranks[2].entered != 0
#endif
      ) ->
      for (i : 0 .. RANKS - 1) {
        assert (ranks[i].entered == ranks[0].entered)
      }
      for (i : 0 .. RANKS - 1) { ranks[i].entered = 0 }
      i = 0;
      step++
    }
  od
}

/* What every rank confirmed decides: a switch that any rank has committed is
   committed, any other is aborted.  */
inline choose_target ()
{
  d_step {
    for (r : 0 .. RANKS - 1) {
      if
      :: VIEW.schedule.base > TARGET.base -> TARGET.base = VIEW.schedule.base
      :: else
      fi
    }
    top = TARGET.base;
    TARGET.phase = GROUP_STEADY;
    if
    :: TARGET.base == 0 -> TARGET.base = VERSION_AFTER (0)
    :: else
    fi;
    for (r : 0 .. RANKS - 1) {
      if
#ifndef ABORT_ANYWAY
      :: (VIEW.schedule.phase == GROUP_COMMITTED
#ifndef NO_FIRST_STEP
          || (VIEW.schedule.phase == GROUP_ARMED && VIEW.schedule.next == top)
#endif
          ) -> copy_schedule (TARGET, VIEW.schedule);
           TARGET.phase = GROUP_COMMITTED
#endif
      :: else
      fi
    }
    for (r : 0 .. RANKS - 1) {
      assert (VIEW.schedule.phase == GROUP_NO_MAP
              || VIEW.schedule.base == TARGET.base
              || VIEW.schedule.base == FINAL (TARGET))
    }
    r = 0;
    top = 0
  }
}

#ifdef NOT_ALL
#define NEEDED_RANKS (RANKS - 1)
#else
#define NEEDED_RANKS RANKS
#endif

#if RANKS > 2
#define IS_THIRD(member) && ballots[b].ranks[2].member
#else
#define IS_THIRD(member)
#endif
#define ALL(member)                                                           \
  (ballots[b].ranks[0].member                                                 \
   && (NEEDED_RANKS < 2 || ballots[b].ranks[1].member) IS_THIRD (member))

/* The coordinator with ballot B.  */
proctype coordinator (byte b)
{
  byte r;
  byte top;

#ifdef NO_TAKE_OVER
  b == 1;
#endif
  atomic { ALL (has_promised) -> ballots[b].is_confirm_sent = 1 }
  atomic {
#ifndef NO_CONFIRM
    ALL (has_confirmed) ->
#endif
    choose_target ();
    ballots[b].is_settle_sent = 1
  }
  atomic {
    ALL (is_done) ->
    if
    :: (b <= SWITCHES && TARGET.phase == GROUP_STEADY && step < STEPS) ->
      if
      :: ballots[b].arm_step = step
      :: ballots[b].arm_step = step + 1
      fi;
      ballots[b].version = VERSION_AFTER (TARGET.base);
      ballots[b].is_arm_sent = 1
    :: else -> goto end
    fi
  }
  atomic {
    if
    :: ALL (is_armed) ->
      TARGET.phase = GROUP_COMMITTED;
      TARGET.next = ballots[b].version;
      TARGET.step = ballots[b].arm_step;
      ballots[b].is_commit_sent = 1
    :: ballots[b].is_abort_sent = 1
    fi
  }
end:
  skip
}

init
{
  byte i;
  byte j;

  atomic {
    for (i : 0 .. RANKS - 1) {
      ranks[i].incarnation = 1;
      ranks[i].schedule.phase = GROUP_STEADY;
      ranks[i].schedule.base = 1;
      run engine (i);
      run fault (i);
      for (j : 1 .. BALLOTS) { run agent (i, j) }
    }
    i = 0;
    j = 0;
    run group ();
    for (i : 1 .. BALLOTS) { run coordinator (i) }
    i = 0
  }
#ifndef NO_END_CHECK
  /* Nothing more can happen: the group has made all its steps.  */
  timeout -> assert (step > STEPS)
#endif
}
