/* Claims of one idempotency key; see docs/CLAIMS.md.

   Each call reaches an agent that claims the key before it forwards the
   request.  Calls run side by side, so each may be that of an agent that is
   paused for long, and one that makes no progress is that of a dead one.  A
   store call, once sent, may take effect at any later time and again, with
   its answer lost; an agent that waits for an answer reads the key.  Every run
   is finite, so what must hold at last is checked where nothing more can
   happen.  Macros that take one mechanism out: TAKE_OVER, FORWARD_FIRST,
   SAME_WRITER, LOST_IS_GRANTED, LOST_IS_REFUSED, RELEASE_DELETES,
   RELEASE_FORWARDED, NOT_RUN_AFTER_SEND.  NO_END_CHECK checks safety alone.  */

#ifndef CALLS
#define CALLS 3
#endif
#define ATTEMPTS 2 /* writers of a call */
#define WRITERS (CALLS * ATTEMPTS)

/* claim_state_t, and the lack of a value */
#define ABSENT 0
#define RUNNING 1
#define DONE 2
#define RELEASED 3

/* claim_step_t */
#define NONE 0
#define CLAIM 1
#define RECORD 2
#define RELEASE 3

typedef value_t {
  byte state;
  byte writer
}

typedef writer_t {
  bit is_claim_sent;
  bit is_record_sent;
  bit is_release_sent;
  bit is_forwarded;
  bit is_dead; /* its agent died and takes nothing back */
  value_t expected
}

value_t key;
writer_t writers[WRITERS + 1];
byte runs = 0;

#ifdef SAME_WRITER
#define WRITER_ID(w) 1
#else
#define WRITER_ID(w) w
#endif

#define IS(value, s, w) (value.state == s && value.writer == WRITER_ID (w))
#define IS_EXPECTED(w)                                                        \
  (key.state == writers[w].expected.state                                     \
   && key.writer == writers[w].expected.writer)

/* What WRITER has sent to the store takes effect.  */
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
      (writers[w].is_record_sent && IS (key, RUNNING, w)) ->
      key.state = DONE
    }
  :: atomic {
      (writers[w].is_release_sent
        && (IS (key, RUNNING, w) || IS_EXPECTED (w))) ->
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

/* One call with the key, at the agent that serves it.  */
proctype call (byte first)
{
  byte w = first;
  bit is_granted;

  do
  :: atomic {
      writers[w].is_claim_sent = 1;
#ifdef FORWARD_FIRST
      is_granted = 1
#endif
    }
    if
    /* The answer, or what a read shows after it was lost.  */
    :: atomic { IS (key, RUNNING, w) -> is_granted = 1 }
#ifdef LOST_IS_GRANTED
    :: is_granted = 1
#endif
#ifdef FORWARD_FIRST
    :: is_granted
#endif
    :: atomic {
        (key.state == RUNNING && !IS (key, RUNNING, w)) ->
#ifdef TAKE_OVER
        /* The holder's lease has lapsed.  */
        if
        :: w < first + ATTEMPTS - 1 ->
          writers[w + 1].expected.state = key.state;
          writers[w + 1].expected.writer = key.writer;
          w++
        :: else -> goto end
        fi
#else
        /* Claimed by another, with no outcome by the deadline: unknown.  */
        goto end
#endif
      }
    :: atomic {
        key.state == DONE ->
        /* The recorded outcome is the answer.  */
        assert (runs == 1);
        goto end
      }
    :: atomic {
        (key.state == RELEASED && !IS (key, RELEASED, w)
          && !IS_EXPECTED (w)) ->
        if
        :: w < first + ATTEMPTS - 1 ->
          writers[w + 1].expected.state = key.state;
          writers[w + 1].expected.writer = key.writer;
          w++
        :: else -> goto end
        fi
      }
    /* The deadline: the caller is told "not run", and the claim, which may
       yet take effect, is taken back.  */
    :: goto not_run
    /* The agent dies.  */
    :: writers[w].is_dead = 1;
      goto end
    fi;
    if
    :: is_granted -> break
    :: else
    fi
  od;
  if
  /* The caller went away before the first byte left.  */
  :: goto not_run
  :: writers[w].is_dead = 1;
    goto end
  :: atomic {
      runs++;
      assert (runs <= 1);
      writers[w].is_forwarded = 1
    }
  fi;
  if
  :: writers[w].is_record_sent = 1
  /* The agent dies, or never learns the outcome.  */
  :: true
#ifdef RELEASE_FORWARDED
  :: writers[w].is_release_sent = 1
#endif
#ifdef NOT_RUN_AFTER_SEND
  /* A write error is taken for proof.  */
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
  /* Nothing more can happen: no key is kept by a call that did not run.  */
  timeout -> assert (key.state != RUNNING || writers[key.writer].is_forwarded
                     || writers[key.writer].is_dead)
#endif
}
