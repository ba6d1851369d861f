#ifndef SISKIN_PILOT_SWITCHER_STATE_H
#define SISKIN_PILOT_SWITCHER_STATE_H

#include "kernel/clock.h"
#include "pilot/switcher.h"

/* Private to switcher*.c.  */

enum
{
  SWITCHER_NO_RANK = 0xffff,
  /* Limit of the rounds and of the switches in one term.  */
  SWITCHER_FENCES_PER_TERM = 1 << 20
};

/* The leader's view of a rank.  */
typedef struct rank_view
{
  bool is_known;
  rank_report_t report;
  struct timespec reported_at;
  uint64_t after_ticket;    /* commands up to this one had finished before the
                               report was taken */
  bool is_pending;          /* a command is in progress */
  uint64_t ticket;          /* last command sent */
  uint64_t sent_stage;      /* stage in which that command was sent */
  struct timespec retry_at; /* no command is sent before this time */
  bool is_done;             /* the command of this stage succeeded */
  bool is_refused;          /* the command of this stage was rejected */
  uint64_t finished_ticket; /* last command whose outcome is known */
} rank_view_t;

struct switcher
{
  const switcher_ops_t *ops;
  void *data;
  unsigned rank_count;
  unsigned own_rank;
  rank_view_t *ranks;
  switcher_phase_t phase;
  uint64_t stage; /* increases with each change of phase */
  uint64_t term;
  uint64_t round;
  uint64_t epoch;    /* of the group, as reported by the ranks */
  uint64_t version;  /* of the last switch started */
  uint64_t switches; /* number of switches started in this term */
  /* The group is held before this step and switches with it.  */
  uint64_t step;
  unsigned holder;
  switcher_deposed_t deposed;
  uint64_t permitted_version; /* version that the holder's pilot permitted for
                                 the own rank */
  struct timespec permit_retry_at;
  bool is_excluding_deposed; /* proven safe to proceed without the deposed
                                leader's rank */
  bool may_be_held;  /* a hold command was sent and no release confirmed */
  bool is_abandoned; /* the switch in progress is cancelled before any rank is
                        armed */
  placement_map_t *map; /* map of the switch in progress */
  struct timespec phase_at;
  bool has_lost; /* a command was lost, at LOST_AT */
  struct timespec lost_at;
  uint64_t sampled_step; /* last report used to measure the step time */
  struct timespec sampled_at;
  double step_ms;
};

void switcher_enter (switcher_t *switcher, switcher_phase_t phase,
                     struct timespec now);
int64_t switcher_phase_ms (const switcher_t *switcher, struct timespec now);
void switcher_begin_round (switcher_t *switcher, struct timespec now);
void switcher_send_command (switcher_t *switcher, unsigned rank,
                            rank_command_kind_t kind, uint64_t step);
bool rank_view_can_resend (const rank_view_t *view, struct timespec now);
bool rank_view_can_send (const rank_view_t *view, struct timespec now);
bool rank_view_is_current (const rank_view_t *view);
bool switcher_all_done_except (const switcher_t *switcher, unsigned excluded);
bool switcher_all_done (const switcher_t *switcher);
bool switcher_has_report (const switcher_t *switcher, unsigned rank);
bool switcher_has_all_reports (const switcher_t *switcher);
unsigned switcher_count_armed (const switcher_t *switcher, bool *is_same);
bool switcher_has_prepared (const switcher_t *switcher,
                            const rank_view_t *view);
void switcher_claim (switcher_t *switcher, struct timespec now);
void switcher_finish_recovery (switcher_t *switcher, struct timespec now);
void switcher_recover (switcher_t *switcher, struct timespec now);
void switcher_disarm (switcher_t *switcher, struct timespec now);
void switcher_abort (switcher_t *switcher, const char *reason,
                     struct timespec now);

#endif
