/* Claims of one idempotency key; see docs/CLAIMS.md.

   Each call reaches an agent that claims the key before it forwards the
   request.  Calls run concurrently, so that the agent of any call may be
   paused for a long time; one that makes no further progress has crashed.  A
   transaction that was sent to the store may take effect at any later time and
   more than once, and its response may be lost; an agent that waits for a
   response therefore reads the key.  Every execution is finite, so liveness is
   checked in the states where no further step is possible.

   Each of these macros removes or breaks one mechanism.  With the parameters
   in scripts/model-check, the check must then fail:

   TAKE_OVER           a key claimed by another writer is taken over when that
                       writer's lease has expired
   FORWARD_FIRST       the request is forwarded before the claim is granted
   SAME_WRITER         all claims have the same writer
   LOST_IS_GRANTED     a claim without a response is treated as granted
   LOST_IS_REFUSED     a claim without a response is treated as refused and is
                       not released
   RELEASE_DELETES     a release deletes the key
   RELEASE_FORWARDED   a claim may be released after the request was forwarded
   NOT_RUN_AFTER_SEND  a write error is treated as proof that the request did
                       not run

   NO_END_CHECK omits the liveness check, so that only safety is checked.  */

#ifndef CALLS
#define CALLS 3
#endif
#define ATTEMPTS 2 /* claims of one call, each with a writer of its own */
#define WRITERS (CALLS * ATTEMPTS)

/* Values of claim_state_t, and ABSENT for a key without a value.  */
#define ABSENT 0
#define RUNNING 1
#define DONE 2
#define RELEASED 3

/* Values of claim_step_t.  */
#define NONE 0
#define CLAIM 1
#define RECORD 2
#define RELEASE 3

typedef value_t {
  byte state;
  byte writer
}

/* Transactions that were sent for a claim, and what became of the request.  */
typedef writer_t {
  bit is_claim_sent;
  bit is_record_sent;
  bit is_release_sent;
  bit is_forwarded;
  bit has_agent_crashed; /* so the claim is never released */
  value_t expected /* value of the key that the claim may replace */
}

value_t key;
writer_t writers[WRITERS + 1];
byte executions = 0; /* of the request, by the upstream */

#ifdef SAME_WRITER
#define WRITER_ID(w) 1
#else
#define WRITER_ID(w) w
#endif

/* Whether VALUE has state S and was written by writer W.  */
#define HAS_STATE(value, s, w)                                                \
  (value.state == s && value.writer == WRITER_ID (w))
/* Whether the key still has the value that the claim of writer W expects.  */
#define IS_EXPECTED(w)                                                        \
  (key.state == writers[w].expected.state                                     \
   && key.writer == writers[w].expected.writer)

/* Executes in the store what writer W has sent.  */
proctype store (byte w)
{
end:
  do
  :: atomic {
      (writers[w].is_claim_sent && IS_EXPECTED (w)) ->
      key.state = RUNNING;
      key.writer = WRITER_ID (w)
    }
  :: atomic {
      (writers[w].is_record_sent && HAS_STATE (key, RUNNING, w)) ->
      key.state = DONE
    }
  :: atomic {
      (writers[w].is_release_sent
        && (HAS_STATE (key, RUNNING, w) || IS_EXPECTED (w))) ->
#ifdef RELEASE_DELETES
      writers[w].is_release_sent = 0;
      key.state = ABSENT;
      key.writer = 0
#else
      key.state = RELEASED;
      key.writer = WRITER_ID (w)
#endif
    }
  od
}

/* One call with the key, in the agent that serves it.  */
proctype call (byte first_writer)
{
  byte w = first_writer;
  bit is_granted;

  do
  :: atomic {
      writers[w].is_claim_sent = 1;
#ifdef FORWARD_FIRST
      is_granted = 1
#endif
    }
    if
    /* From the response or, when that was lost, from reading the key.  */
    :: atomic { HAS_STATE (key, RUNNING, w) -> is_granted = 1 }
#ifdef LOST_IS_GRANTED
    :: is_granted = 1
#endif
#ifdef FORWARD_FIRST
    :: is_granted
#endif
    :: atomic {
        (key.state == RUNNING && !HAS_STATE (key, RUNNING, w)) ->
#ifdef TAKE_OVER
        /* The writer's lease has expired.  */
        if
        :: w < first_writer + ATTEMPTS - 1 ->
          writers[w + 1].expected.state = key.state;
          writers[w + 1].expected.writer = key.writer;
          w++
        :: else -> goto end
        fi
#else
        /* Claimed by another writer and without an outcome by the deadline:
           the caller is told that the outcome is unknown.  */
        goto end
#endif
      }
    :: atomic {
        key.state == DONE ->
        /* The caller gets the recorded outcome.  */
        assert (executions == 1);
        goto end
      }
    :: atomic {
        (key.state == RELEASED && !HAS_STATE (key, RELEASED, w)
          && !IS_EXPECTED (w)) ->
        /* Released by another writer: claim the key as the next writer.  */
        if
        :: w < first_writer + ATTEMPTS - 1 ->
          writers[w + 1].expected.state = key.state;
          writers[w + 1].expected.writer = key.writer;
          w++
        :: else -> goto end
        fi
      }
    /* The deadline has passed: the caller is told that the request did not
       run, and the claim, which may still take effect, is released.  */
    :: goto not_run
    /* The agent crashes.  */
    :: writers[w].has_agent_crashed = 1;
      goto end
    fi;
    if
    :: is_granted -> break
    :: else
    fi
  od;
  if
  /* The caller disconnected before the first byte was forwarded.  */
  :: goto not_run
  :: writers[w].has_agent_crashed = 1;
    goto end
  :: atomic {
      executions++;
      assert (executions <= 1);
      writers[w].is_forwarded = 1
    }
  fi;
  if
  :: writers[w].is_record_sent = 1
  /* The agent crashes, or never learns the outcome.  */
  :: true
#ifdef RELEASE_FORWARDED
  :: writers[w].is_release_sent = 1
#endif
#ifdef NOT_RUN_AFTER_SEND
  /* A write error is treated as proof that the request did not run.  */
  :: goto not_run
#endif
  fi;
  goto end;
not_run:
  assert (!writers[w].is_forwarded);
#ifndef LOST_IS_REFUSED
  writers[w].is_release_sent = 1;
#endif
end:
  skip
}

init
{
  byte i;

  atomic {
    for (i : 1 .. WRITERS) { run store (i) }
    for (i : 0 .. CALLS - 1) { run call (i * ATTEMPTS + 1) }
    i = 0
  }
#ifndef NO_END_CHECK
  /* When no further step is possible, no key stays claimed by a call that has
     not run, unless its agent crashed.  */
  timeout -> assert (key.state != RUNNING || writers[key.writer].is_forwarded
                     || writers[key.writer].has_agent_crashed)
#endif
}
