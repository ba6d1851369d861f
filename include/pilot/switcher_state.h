#ifndef SISKIN_PILOT_SWITCHER_STATE_H
#define SISKIN_PILOT_SWITCHER_STATE_H

#include "kernel/clock.h"
#include "pilot/answer_time.h"
#include "pilot/switch_trace.h"
#include "pilot/switcher.h"

/* Private to switcher*.c.  */

enum
{
  /* Delay before a failed command or a permit request without a reply is sent
     again.  */
  SWITCHER_RESEND_DELAY_MS = 100,
  SWITCHER_HOLD_TIMEOUT_MS = 2000,
  SWITCHER_NO_RANK = 0xffff,
  /* Fencing token = TERM * this + ROUND, and map version = TERM * this +
     SWITCHES, so that those of a later term are always higher.  Limits the
     rounds and the switches in one term.  */
  SWITCHER_FENCES_PER_TERM = 1 << 20
};

/* What has become of a command to prepare a map while other ranks are missing
   (SWITCHER_CLAIMING).  */
typedef enum early_state
{
  EARLY_UNSENT, /* or its outcome is unknown */
  EARLY_ACCEPTED,
  EARLY_REFUSED
} early_state_t;

/* The leader's view of a rank.  */
typedef struct rank_view
{
  bool is_known;        /* REPORT is valid */
  rank_report_t report; /* last report in this term */
  struct timespec reported_at;
  uint64_t after_ticket;  /* commands up to this one had finished before the
                             report was taken */
  bool is_pending;        /* the command TICKET is in progress */
  uint64_t ticket;        /* last command sent */
  rank_command_t command; /* that command, without its map */
  uint64_t sent_stage;    /* stage in which that command was sent */
  /* The first one of the commands that were sent in that stage one after the
     other and are all the same as the last.  The outcome of any of them is
     that of the last.  */
  uint64_t first_ticket;
  struct timespec retry_at; /* no command is sent before this time */
  bool is_done;             /* the command of this stage succeeded */
  bool is_refused;          /* the command of this stage was rejected */
  uint64_t finished_ticket; /* last command whose outcome is known */
  uint64_t claim_ticket;    /* last command of a claim that succeeded */
  early_state_t early;
} rank_view_t;

struct switcher
{
  const switcher_ops_t *ops;
  void *data;
  unsigned rank_count;
  unsigned own_rank;
  rank_view_t *ranks;
  switch_trace_t *trace; /* of the last switch or recovery */
  switcher_phase_t phase;
  uint64_t stage; /* increases with each change of phase, so that a late
                     verdict of an earlier phase is recognized */
  uint64_t term;
  /* Number of times in this term that a new fencing token was sent to all
     engines, so that they reject all earlier commands: at the start of the
     term, when an armed switch is aborted, when an engine is held
     unexpectedly, and when the group was re-formed.  */
  uint64_t round;
  uint64_t epoch;    /* epoch of the group, as reported by the ranks */
  uint64_t version;  /* map version of the last switch started */
  uint64_t switches; /* number of switches started in this term */
  /* The group is held before this step and switches with it.  */
  uint64_t step;
  /* The highest step of a hold or release sent in this round.  A release that
     is carried out late lifts each hold of its step, so that no step is used
     twice; the engines reject those of earlier rounds.  */
  uint64_t used_step;
  unsigned holding_rank; /* rank whose engine holds the group */
  switcher_deposed_t deposed;
  /* Last version with which the pilot of HOLDING_RANK permitted this pilot to
     arm its own rank.  */
  uint64_t permitted_version;
  /* No permit is requested before this time.  */
  struct timespec permit_retry_at;
  /* The group is released without the rank of the previous leader, DEPOSED,
     which does not reply: can_exclude_rank has established that this rank is
     not armed and cannot become so.  */
  bool is_excluding_deposed;
  /* The switch for which all ranks are armed is being moved to an earlier
     step; ended by the next round.  */
  bool is_advancing;
  uint64_t advanced_version; /* of the last switch that was to be moved */
  bool may_be_held;          /* a hold command was sent, and its release is not
                                confirmed */
  bool is_abandoned; /* the switch in progress is cancelled before any rank is
                        armed */
  placement_map_t *map;     /* map of the switch in progress */
  uint64_t early_base;      /* version of the map in use when MAP was planned,
                               if that is prepared early */
  struct timespec phase_at; /* start of PHASE */
  /* The last time that the command of this stage succeeded at a rank, or the
     start of PHASE.  */
  struct timespec progress_at;
  /* Step and time of the last report used to measure the step time.  */
  uint64_t sampled_step;
  struct timespec sampled_at;
  bool was_stopped;        /* by a hold, since then */
  double step_ms;          /* moving average of the step time */
  struct timespec hold_at; /* the first hold of the switch was sent */
  /* Time from there until all ranks were armed, in past switches.  */
  answer_time_t arming_time;
};

void switcher_enter (switcher_t *switcher, switcher_phase_t phase,
                     struct timespec now);
int64_t switcher_phase_ms (const switcher_t *switcher, struct timespec now);
/* Starts the recovery: increases ROUND, and with it the fencing token, and
   enters SWITCHER_CLAIMING.  */
void switcher_begin_round (switcher_t *switcher, struct timespec now);
void switcher_send_command (switcher_t *switcher, unsigned rank,
                            rank_command_kind_t kind, uint64_t step);
/* Whether a command may be sent to the rank now: none is in progress, and
   RETRY_AT has passed.  */
bool rank_view_can_resend (const rank_view_t *view, struct timespec now);
/* The same, and the command of this stage has not succeeded yet.  */
bool rank_view_can_send (const rank_view_t *view, struct timespec now);
/* Whether the last report was taken after the last command had finished, so
   that it shows the effect of that command.  */
bool rank_view_is_current (const rank_view_t *view);
bool switcher_all_done_except (const switcher_t *switcher, unsigned excluded);
bool switcher_all_done (const switcher_t *switcher);
bool switcher_has_report (const switcher_t *switcher, unsigned rank);
bool switcher_has_all_reports (const switcher_t *switcher);
unsigned switcher_count_armed (const switcher_t *switcher, bool *is_same);
bool switcher_has_prepared (const switcher_t *switcher,
                            const rank_view_t *view);
/* The step at which to hold the group and switch.  */
uint64_t switcher_choose_step (const switcher_t *switcher);
/* Updates STEP_MS from the STEP that this pilot's engine reports.  */
void switcher_measure_step_time (switcher_t *switcher, uint64_t step,
                                 struct timespec now);
/* Whether the group is stopped by a hold.  */
bool switcher_is_stopped (const switcher_t *switcher);
/* The steps of the recovery; those of a phase run on each tick of it.
   switcher_claim (SWITCHER_CLAIMING) sends the fencing token of the round to
   all engines and enters SWITCHER_RECOVERING; if only the rank of DEPOSED does
   not reply, it may release the group without that rank meanwhile.
   switcher_recover (SWITCHER_RECOVERING) enters SWITCHER_DISARMING if the
   ranks are not armed alike; otherwise it releases the group, enters
   SWITCHER_IDLE and reports SWITCHER_RECOVERED, or goes on with a switch
   whose map was prepared early.  switcher_disarm (SWITCHER_DISARMING) disarms
   all armed ranks and then enters SWITCHER_RECOVERING again.  */
void switcher_claim (switcher_t *switcher, struct timespec now);
void switcher_recover (switcher_t *switcher, struct timespec now);
void switcher_disarm (switcher_t *switcher, struct timespec now);
/* The step after the newest one known.  */
uint64_t switcher_next_step (const switcher_t *switcher);
/* Whether a step takes longer than arming all ranks.  */
bool switcher_has_long_steps (const switcher_t *switcher);
bool switcher_can_advance (const switcher_t *switcher);
/* Preparing a map while the claim waits for some ranks.  */
void switcher_begin_early (switcher_t *switcher);
void switcher_record_claim (const switcher_t *switcher, rank_view_t *view,
                            early_state_t early);
void switcher_prepare_early (switcher_t *switcher, struct timespec now);
bool switcher_can_resume_early (switcher_t *switcher);
void switcher_resume_early (switcher_t *switcher, struct timespec now);
void switcher_abort (switcher_t *switcher, const char *reason,
                     struct timespec now);
/* Aborts a switch for which ranks may be armed already.  */
void switcher_abort_with_new_round (switcher_t *switcher, const char *reason,
                                    struct timespec now);

#endif
