#ifndef SISKIN_PILOT_SWITCHER_STATE_H
#define SISKIN_PILOT_SWITCHER_STATE_H

#include "kernel/clock.h"
#include "pilot/switcher.h"

/* What the parts of the switcher share.  */

enum
{
  SWITCHER_NO_RANK = 0xffff,
  SWITCHER_FENCES_A_TERM = 1 << 20 /* rounds that one leader may count */
};

/* What is known of a rank.  */
typedef struct rank_view
{
  bool is_known;
  rank_report_t report;
  struct timespec reported_at;
  uint64_t after_ticket;    /* orders up to it were over before the report */
  bool is_pending;          /* an order is under way */
  uint64_t ticket;          /* of the last order */
  uint64_t sent_in;         /* the stage that it belongs to */
  struct timespec again_at; /* not to be sent another order before */
  bool is_done;             /* the order of this stage is done */
  bool is_refused;          /* the order of this stage does not fit */
  uint64_t over_ticket;     /* of the last order with a clear verdict */
} rank_view_t;

struct switcher
{
  const switcher_ops_t *ops;
  void *data;
  unsigned rank_count;
  unsigned own_rank;
  rank_view_t *ranks;
  switcher_phase_t phase;
  uint64_t stage; /* counts the phases entered */
  uint64_t term;
  uint64_t round;
  uint64_t epoch;    /* of the group, as the ranks report it */
  uint64_t version;  /* of the last switch that was started */
  uint64_t switches; /* started in this term */
  uint64_t step;     /* at which the group is held and switches */
  unsigned holder;
  switcher_deposed_t deposed;
  uint64_t permitted; /* version that the own rank may be armed with */
  struct timespec permit_again_at;
  bool is_going_without; /* the deposed rank; found to be safe */
  bool may_be_held;      /* an order to hold was sent and not taken back */
  bool is_abandoned;     /* the switch under way; no rank was armed */
  placement_map_t *map;  /* of the switch under way */
  struct timespec phase_at;
  bool has_lost; /* an order, at LOST_AT */
  struct timespec lost_at;
  uint64_t paced_step; /* to learn how long a step takes */
  struct timespec paced_at;
  double step_ms;
};

void switcher_enter (switcher_t *switcher, switcher_phase_t phase,
                     struct timespec now);
int64_t switcher_phase_ms (const switcher_t *switcher, struct timespec now);
void switcher_begin_round (switcher_t *switcher, struct timespec now);
void switcher_send_order (switcher_t *switcher, unsigned rank,
                          rank_command_kind_t kind, uint64_t step);
bool rank_view_may_repeat (const rank_view_t *view, struct timespec now);
bool rank_view_may_send (const rank_view_t *view, struct timespec now);
bool rank_view_is_newer (const rank_view_t *view);
bool switcher_all_done_but (const switcher_t *switcher, unsigned excused);
bool switcher_all_done (const switcher_t *switcher);
bool switcher_knows (const switcher_t *switcher, unsigned rank);
bool switcher_knows_all (const switcher_t *switcher);
unsigned switcher_count_armed (const switcher_t *switcher, bool *is_same);
bool switcher_has_prepared (const switcher_t *switcher,
                            const rank_view_t *view);
void switcher_claim (switcher_t *switcher, struct timespec now);
void switcher_settle (switcher_t *switcher, struct timespec now);
void switcher_resolve (switcher_t *switcher, struct timespec now);
void switcher_disarm (switcher_t *switcher, struct timespec now);
void switcher_give_up (switcher_t *switcher, const char *reason,
                       struct timespec now);

#endif
