#ifndef SISKIN_PILOT_COMMAND_REPEATER_H
#define SISKIN_PILOT_COMMAND_REPEATER_H

#include "kernel/clock.h"
#include "plugins/rank_engine.h"

/* Sends commands to one engine, again until one of the attempts is answered,
   so that a lost command costs no more than the time that the engine's answers
   usually take.  All attempts carry the same fencing token, epoch, version and
   step, and engines carry out such repeats once.  A state machine without I/O;
   belongs to one worker.  */
typedef struct command_repeater command_repeater_t;

typedef struct command_repeater_ops
{
  /* Sends COMMAND once.  The verdict is passed to
     command_repeater_handle_verdict with the number ATTEMPT, never within this
     call.  Returns false if it can't be sent; no verdict follows then.  */
  bool (*send) (uint64_t attempt, const rank_command_t *command, void *data);
  /* Arranges that command_repeater_tick is called after DELAY, instead of at
     the time last set.  */
  void (*set_timer) (struct timespec delay, void *data);
  /* The engine has left an attempt of COMMAND unanswered for AFTER.  May be
     NULL, as ON_END.  */
  void (*on_repeat) (const rank_command_t *command, unsigned attempts,
                     struct timespec after, void *data);
  /* COMMAND has ended with VERDICT, so long after its first attempt.  */
  void (*on_end) (const rank_command_t *command, rank_verdict_t verdict,
                  struct timespec after, void *data);
} command_repeater_ops_t;

/* CLOCK, OPS and DATA must outlive the repeater.  */
command_repeater_t *command_repeater_create (TALLOC_CTX *parent,
                                             const clock_source_t *clock,
                                             const command_repeater_ops_t *ops,
                                             void *data);
/* DONE isn't called for the commands in progress.  */
void command_repeater_destroy (command_repeater_t *repeater);
/* Sends COMMAND, whose map is copied, or joins the same one if that is in
   progress.  Ends the commands in progress with the same or a lower epoch and
   fencing token with RANK_OUTCOME_UNKNOWN: their sender has gone on to this
   one.  DONE is called once, never within this call: with the engine's
   verdict, or with RANK_OUTCOME_UNKNOWN when nobody has asked for the command
   again for some time.  Returns STATUS_NO_MEMORY if it can't.  */
status_t command_repeater_send (command_repeater_t *repeater,
                                const rank_command_t *command,
                                rank_command_done_t done, void *data);
void command_repeater_handle_verdict (command_repeater_t *repeater,
                                      uint64_t number, rank_verdict_t verdict);
/* Sends what is due again, and ends what nobody asks for.  */
void command_repeater_tick (command_repeater_t *repeater);

#endif
