#ifndef SISKIN_PILOT_LEADER_STATE_H
#define SISKIN_PILOT_LEADER_STATE_H

#include "common/store_mirror.h"
#include "common/term.h"
#include "pilot/leader.h"
#include "pilot/members.h"
#include "pilot/planner.h"
#include "pilot/switcher.h"

/* Private to leader*.c.  */

struct leader
{
  pilot_t *pilot;
  worker_timer_t *timer;
  struct timespec ticked_at;
  struct timespec ended_at;    /* end of its last term */
  struct timespec not_held_at; /* last time the own engine was seen not held */
  election_t *term;            /* NULL until the group is known */
  char *group;
  unsigned rank_count;
  unsigned own_rank;
  bool is_stopping;
  bool has_seen_not_held; /* the own engine was seen not held since this
                             process started */
  uint64_t fence;         /* fencing token of the own newest term */
  /* The rest is valid only during a term.  */
  members_t *members;
  switcher_t *switcher;
  store_mirror_t *mirror;
  char *service; /* service of the own engine */
  planner_t *planner;
  placement_map_t *planned; /* map of the switch in progress */
  unsigned unanswered;      /* ranks whose answer is outstanding */
  bool is_querying;
  rank_query_t question;
  struct timespec queried_at;
  struct timespec counts_queried_at; /* last RANK_QUERY_EXPERT_COUNTS query */
  struct timespec planned_at;
  struct timespec heartbeat_at; /* last heartbeat to the other pilots */
};

void leader_start_mirror (leader_t *leader);

#endif
