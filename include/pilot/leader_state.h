#ifndef SISKIN_PILOT_LEADER_STATE_H
#define SISKIN_PILOT_LEADER_STATE_H

#include "common/store_mirror.h"
#include "common/term.h"
#include "pilot/crew.h"
#include "pilot/leader.h"
#include "pilot/planner.h"
#include "pilot/switcher.h"

/* What the parts of the leader share.  */

struct leader
{
  pilot_t *pilot;
  worker_timer_t *timer;
  struct timespec ticked_at;
  struct timespec ended_at; /* when it last ceased to lead */
  struct timespec free_at;  /* the own engine was seen not to be held */
  term_t *term;             /* NULL until the group is known */
  char *group;
  unsigned rank_count;
  unsigned own_rank;
  bool is_stopping;
  bool has_seen_free; /* the own engine was not held, since the start */
  uint64_t fence;     /* of the newest own term */
  /* While it leads.  */
  crew_t *crew;
  switcher_t *switcher;
  store_mirror_t *mirror;
  char *service; /* of the own engine */
  planner_t *planner;
  placement_map_t *planned; /* of the switch under way */
  unsigned asked;           /* ranks that are to tell */
  bool is_asking;
  rank_query_t question;
  struct timespec asked_at;
  struct timespec counted_at; /* asked for counts */
  struct timespec planned_at;
  struct timespec shown_at; /* the other pilots had a sign of life */
};

void leader_follow_store (leader_t *leader);

#endif
