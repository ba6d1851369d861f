/* The expert-map switch of a lock-step group; see docs/MAP-SWITCH.md.

   A ballot stands for one fence (epoch and round) and the coordinator that
   uses it; a higher number is a higher fence.  All ballots run concurrently,
   so that the coordinator of any ballot may be paused for a long time; one
   that makes no further progress has crashed.  Everything that a ballot has
   sent stays deliverable: messages may be delayed, duplicated, reordered, or
   lost because a higher fence arrives first.  Every execution is finite, so
   liveness is checked in the states where no further step is possible.
   Loading of weights does not change a map and is not modelled.

   Engines do not check fences; the agent beside each engine does.  BALLOTS=1
   models an outage of the store, in which no new epoch can be allocated.

   Each of these macros disables one mechanism.  With the parameters in
   scripts/model-check, the check must then fail:

   NO_FENCE        agents execute commands of any ballot
   NO_INCARNATION  agents execute commands for an earlier incarnation
   NO_CONFIRM      coordinators use the schedules reported when the fence was
                   raised, without a second round that confirms it
   NO_READ_BACK    agents do not wait until a command to the engine has been
                   executed and the engine's state has been read again
   NO_HOLD         engines that are armed do not hold before the switch step
   NOT_ALL         coordinators do not wait for the last rank
   ABORT_ANYWAY    a new coordinator aborts every unfinished switch, even if a
                   rank has committed it
   NO_FIRST_STEP   a new coordinator ignores that a rank which executes steps
                   with the new map proves the switch committed
   NO_TAKE_OVER    only the first ballot has a coordinator
   NO_RISE         new map versions do not depend on the current one

   NO_END_CHECK omits the liveness check, so that only safety is checked.  */

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
#define SWITCHES 1 /* ballots 1 to SWITCHES start a switch */
#endif
#define STEPS 2 /* that the group executes in total */

/* As group_version_after: a map version that is higher than V and that no
   other ballot uses.  The group starts with version 1.  */
#ifdef NO_RISE
#define VERSION_AFTER(v) (8 + b)
#else
#define VERSION_AFTER(v) ((v / 8 + 1) * 8 + b)
#endif

/* Values of group_phase_t.  */
#define GROUP_NO_MAP 0
#define GROUP_STEADY 1
#define GROUP_ARMED 2
#define GROUP_COMMITTED 3

/* Values of group_engine_command_kind_t.  */
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
  /* State of the agent, lost when it restarts.  The incarnation is new after
     each restart of agent or engine.  */
  byte incarnation;
  byte highest_fence;   /* highest ballot accepted, the promise of Paxos */
  byte decided_version; /* newest version that was committed or aborted */
  /* State of the engine.  */
  schedule_t schedule;
  byte step_version; /* map of the current step, 0 until the rank enters it */
  /* Command on its way from the agent to the engine, or NONE.  Until the
     engine has executed it and its state has been read again, the agent
     neither replies nor accepts another command.  */
  byte command;
  byte command_ballot
}

/* A rank in the view of a ballot.  The members are set by the replies of the
   rank to the ballot's coordinator, except is_arm_forwarded, which is set when
   the agent has forwarded the ballot's only arm command to the engine.  */
typedef view_t {
  bit has_raised_fence;
  bit has_confirmed;
  bit is_armed;
  bit is_at_target;
  bit is_arm_forwarded;
  byte incarnation;
  schedule_t schedule
}

/* Progress of a coordinator.  What is marked as sent can be received by every
   rank at any later time.  */
typedef ballot_t {
  bit is_confirm_sent;
  bit is_reconcile_sent;
  bit is_arm_sent;
  bit is_commit_sent;
  bit is_abort_sent;
  byte switch_version; /* map version that it switches to */
  byte arm_step;
  schedule_t target; /* that every rank is brought to */
  view_t ranks[RANKS]
}

rank_t ranks[RANKS];
ballot_t ballots[BALLOTS + 1];
byte current_step = 1;
byte restarts = 0;
/* Set once a rank has accepted the last ballot.  There are no restarts from
   then on, and the last ballot must succeed.  */
bit is_last_ballot_started = 0;

/* Rank r, and its state in the view of ballot b.  */
#define RANK ranks[r]
#define SCHEDULE ranks[r].schedule
#define VIEW ballots[b].ranks[r]
#define TARGET ballots[b].target

#ifdef NO_FENCE
#define FENCE_MATCHES true
#else
#define FENCE_MATCHES (RANK.highest_fence == b)
#endif
#ifdef NO_INCARNATION
#define INCARNATION_MATCHES true
#else
#define INCARNATION_MATCHES (RANK.incarnation == VIEW.incarnation)
#endif
#ifdef NO_READ_BACK
#define ENGINE_IS_KNOWN true
#else
#define ENGINE_IS_KNOWN (RANK.command == NONE)
#endif
#define COMMAND_IS_VALID                                                      \
  (ENGINE_IS_KNOWN && FENCE_MATCHES && INCARNATION_MATCHES)
#define CAN_SEND (COMMAND_IS_VALID && RANK.command == NONE)

/* The map version in use once SCHEDULE has been completed.  */
#define FINAL_VERSION(schedule)                                               \
  (schedule.phase == GROUP_COMMITTED -> schedule.next : schedule.base)
#define AT_TARGET                                                             \
  ((SCHEDULE.phase == GROUP_STEADY || SCHEDULE.phase == GROUP_COMMITTED)      \
   && FINAL_VERSION (SCHEDULE) == FINAL_VERSION (TARGET))

#define IS_RECONCILING_COMMIT                                                 \
  (ballots[b].is_reconcile_sent && TARGET.phase == GROUP_COMMITTED            \
   && VIEW.schedule.phase == GROUP_ARMED                                      \
   && VIEW.schedule.next == TARGET.next)
#define IS_RECONCILING_ABORT                                                  \
  (ballots[b].is_reconcile_sent && VIEW.schedule.phase == GROUP_ARMED         \
   && !IS_RECONCILING_COMMIT)

inline send_to_engine (kind)
{
  RANK.command = kind;
  RANK.command_ballot = b
}

inline copy_schedule (to, from)
{
  to.phase = from.phase;
  to.base = from.base;
  to.next = from.next;
  to.step = from.step
}

/* The agent beside rank R in its dealings with ballot B.  */
proctype agent (byte r; byte b)
{
end:
  do
  :: atomic {
      (b > RANK.highest_fence && ENGINE_IS_KNOWN) ->
      RANK.highest_fence = b;
      is_last_ballot_started = is_last_ballot_started || b == BALLOTS;
      if
      :: !ballots[b].is_confirm_sent ->
        VIEW.has_raised_fence = 1;
        VIEW.incarnation = RANK.incarnation;
#ifdef NO_CONFIRM
        copy_schedule (VIEW.schedule, SCHEDULE)
#endif
      :: else
      fi
    }
  :: atomic {
      (ballots[b].is_confirm_sent && !VIEW.has_confirmed
        && COMMAND_IS_VALID) ->
      VIEW.has_confirmed = 1;
#ifndef NO_CONFIRM
      copy_schedule (VIEW.schedule, SCHEDULE)
#endif
    }
  :: atomic {
      (ballots[b].is_reconcile_sent && VIEW.schedule.phase == GROUP_NO_MAP
        && CAN_SEND && SCHEDULE.phase == GROUP_NO_MAP) ->
      send_to_engine (ENGINE_JOIN)
    }
  :: atomic {
      (ballots[b].is_arm_sent && !VIEW.is_arm_forwarded && CAN_SEND
        && SCHEDULE.phase == GROUP_STEADY
        && ballots[b].switch_version > RANK.decided_version) ->
      VIEW.is_arm_forwarded = 1;
      send_to_engine (ENGINE_ARM)
    }
  :: atomic {
      (ballots[b].is_arm_sent && !VIEW.is_armed && COMMAND_IS_VALID
        && SCHEDULE.phase == GROUP_ARMED
        && SCHEDULE.next == ballots[b].switch_version) ->
      VIEW.is_armed = 1
    }
  :: atomic {
      ((ballots[b].is_commit_sent || IS_RECONCILING_COMMIT) && CAN_SEND
        && SCHEDULE.phase == GROUP_ARMED && SCHEDULE.next == TARGET.next) ->
      RANK.decided_version = TARGET.next;
      send_to_engine (ENGINE_COMMIT)
    }
  :: atomic {
      (ballots[b].is_abort_sent && CAN_SEND
        && RANK.decided_version < ballots[b].switch_version) ->
      assert (SCHEDULE.base != ballots[b].switch_version
              && (SCHEDULE.phase != GROUP_COMMITTED
                  || SCHEDULE.next != ballots[b].switch_version));
      RANK.decided_version = ballots[b].switch_version;
      if
      :: (SCHEDULE.phase == GROUP_ARMED
          && SCHEDULE.next == ballots[b].switch_version) ->
        send_to_engine (ENGINE_ABORT)
      :: else
      fi
    }
  :: atomic {
      (IS_RECONCILING_ABORT && CAN_SEND && SCHEDULE.phase == GROUP_ARMED
        && SCHEDULE.next == VIEW.schedule.next) ->
      send_to_engine (ENGINE_ABORT)
    }
  :: atomic {
      (ballots[b].is_reconcile_sent && !VIEW.is_at_target
        && COMMAND_IS_VALID && AT_TARGET) ->
      VIEW.is_at_target = 1
    }
  od
}

/* The engine of rank R.  It may execute a command long after that was sent,
   even when the agent that sent it has restarted.  */
proctype engine (byte r)
{
  byte b;

end:
  do
  :: atomic {
      (RANK.command != NONE) ->
      b = RANK.command_ballot;
      if
      :: (RANK.command == ENGINE_JOIN && SCHEDULE.phase == GROUP_NO_MAP) ->
        copy_schedule (SCHEDULE, TARGET)
      :: (RANK.command == ENGINE_ARM && SCHEDULE.phase == GROUP_STEADY
          && (ballots[b].arm_step > current_step
              || (ballots[b].arm_step == current_step
                  && RANK.step_version == 0))) ->
        SCHEDULE.phase = GROUP_ARMED;
        SCHEDULE.next = ballots[b].switch_version;
        SCHEDULE.step = ballots[b].arm_step
      :: (RANK.command == ENGINE_COMMIT && SCHEDULE.phase == GROUP_ARMED
          && SCHEDULE.next == TARGET.next) ->
        SCHEDULE.phase = GROUP_COMMITTED
      :: (RANK.command == ENGINE_ABORT && SCHEDULE.phase == GROUP_ARMED) ->
        SCHEDULE.phase = GROUP_STEADY;
        SCHEDULE.next = 0;
        SCHEDULE.step = 0
      :: else
      fi;
      RANK.command = NONE;
      RANK.command_ballot = 0;
      b = 0
    }
  :: atomic {
      /* Enter the current step.  */
      (RANK.step_version == 0 && current_step <= STEPS
        && SCHEDULE.phase != GROUP_NO_MAP
#ifndef NO_HOLD
        && !(SCHEDULE.phase == GROUP_ARMED && current_step >= SCHEDULE.step)
#endif
      ) ->
      if
      :: (SCHEDULE.phase == GROUP_COMMITTED
          && current_step >= SCHEDULE.step) ->
        SCHEDULE.phase = GROUP_STEADY;
        SCHEDULE.base = SCHEDULE.next;
        SCHEDULE.next = 0;
        SCHEDULE.step = 0
      :: else
      fi;
      RANK.step_version = SCHEDULE.base
    }
  od
}

#define CAN_RESTART                                                           \
  (restarts < RESTARTS && !is_last_ballot_started)

/* Restarts rank R: its agent, its engine, or both.  */
proctype fault (byte r)
{
  byte i;
  bit is_engine_restart;

end:
  do
  :: atomic {
      (CAN_RESTART) ->
      restarts++;
      RANK.incarnation++;
      if
      :: RANK.highest_fence = 0; RANK.decided_version = 0
      :: is_engine_restart = 1
      :: RANK.highest_fence = 0; RANK.decided_version = 0;
        is_engine_restart = 1
      fi;
      if
      :: is_engine_restart ->
        SCHEDULE.phase = GROUP_NO_MAP;
        SCHEDULE.base = 0;
        SCHEDULE.next = 0;
        SCHEDULE.step = 0;
        RANK.command = NONE;
        RANK.command_ballot = 0;
        /* The current step is aborted and repeated on every rank.  */
        for (i : 0 .. RANKS - 1) { ranks[i].step_version = 0 }
      :: else
      fi;
      i = 0;
      is_engine_restart = 0
    }
  od
}

/* Completes a step once every rank has entered it, all with the same map.  */
proctype group ()
{
  byte i;
  bit unused;

end:
  do
  :: atomic {
      (current_step <= STEPS && ranks[0].step_version != 0
        && ranks[1].step_version != 0
#if RANKS > 2
        && ranks[2].step_version != 0
#endif
      ) ->
      for (i : 0 .. RANKS - 1) {
        assert (ranks[i].step_version == ranks[0].step_version)
      }
      for (i : 0 .. RANKS - 1) { ranks[i].step_version = 0 }
      i = 0;
      current_step++
    }
  od
}

/* Sets the target from the schedules that every rank has confirmed: a switch
   that any rank has committed is committed, any other is aborted.  */
inline choose_target ()
{
  d_step {
    for (r : 0 .. RANKS - 1) {
      if
      :: VIEW.schedule.base > TARGET.base -> TARGET.base = VIEW.schedule.base
      :: else
      fi
    }
    max_base = TARGET.base;
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
          || (VIEW.schedule.phase == GROUP_ARMED
              && VIEW.schedule.next == max_base)
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
              || VIEW.schedule.base == FINAL_VERSION (TARGET))
    }
    r = 0;
    max_base = 0
  }
}

#ifdef NOT_ALL
#define REQUIRED_RANKS (RANKS - 1)
#else
#define REQUIRED_RANKS RANKS
#endif

#if RANKS > 2
#define AND_THIRD_RANK(member) && ballots[b].ranks[2].member
#else
#define AND_THIRD_RANK(member)
#endif
#define ALL_RANKS(member)                                                     \
  (ballots[b].ranks[0].member                                                 \
   && (REQUIRED_RANKS < 2 || ballots[b].ranks[1].member)                      \
   AND_THIRD_RANK (member))

/* The coordinator that uses ballot B.  */
proctype coordinator (byte b)
{
  byte r;
  byte max_base;

#ifdef NO_TAKE_OVER
  b == 1;
#endif
  atomic { ALL_RANKS (has_raised_fence) -> ballots[b].is_confirm_sent = 1 }
  atomic {
#ifndef NO_CONFIRM
    ALL_RANKS (has_confirmed) ->
#endif
    choose_target ();
    ballots[b].is_reconcile_sent = 1
  }
  atomic {
    ALL_RANKS (is_at_target) ->
    if
    :: (b <= SWITCHES && TARGET.phase == GROUP_STEADY
        && current_step < STEPS) ->
      if
      :: ballots[b].arm_step = current_step
      :: ballots[b].arm_step = current_step + 1
      fi;
      ballots[b].switch_version = VERSION_AFTER (TARGET.base);
      ballots[b].is_arm_sent = 1
    :: else -> goto end
    fi
  }
  atomic {
    if
    :: ALL_RANKS (is_armed) ->
      TARGET.phase = GROUP_COMMITTED;
      TARGET.next = ballots[b].switch_version;
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
  /* When no further step is possible, the group has completed all steps.  */
  timeout -> assert (current_step > STEPS)
#endif
}
