#ifndef SISKIN_PILOT_LEADER_STATE_H
#define SISKIN_PILOT_LEADER_STATE_H

#include "common/election.h"
#include "common/store_mirror.h"
#include "pilot/leader.h"
#include "pilot/members.h"
#include "pilot/planning.h"
#include "pilot/slow_ranks.h"
#include "pilot/switcher.h"
#include "pilot/work_time.h"

/* Private to leader*.c.  */

enum
{
  LEADER_TICK_INTERVAL_MS = PLANNING_TICK_INTERVAL_MS
};

struct leader
{
  pilot_t *pilot;
  worker_timer_t *timer;
  struct timespec ticked_at; /* last tick, to detect pauses of the process */
  struct timespec ended_at;  /* end of its last term */
  /* Last report in which this pilot's engine did not stop the group.  If that
     is long ago and no heartbeats arrive, the leader has failed during a
     switch and this pilot takes over at once.  */
  struct timespec not_held_at;
  election_t *term; /* NULL until the group is known */
  char *group;
  unsigned rank_count;
  unsigned own_rank;
  slow_ranks_t *own_pace;   /* of this pilot's engine, as its only rank */
  struct timespec asked_at; /* by a leader that stopped, to lead */
  bool is_stopping;
  struct timespec stopping_at; /* start of the planned stop */
  /* The leadership was given up; the connections are closed with the next
     tick, when the successor has been asked.  */
  bool has_handed_over;
  /* This process has run while its engine did not hold the group.  Otherwise
     an earlier process of this pilot may have granted the leader a permit that
     this one does not know of; after a takeover the switcher then gets
     SWITCHER_UNKNOWN_VERSION as the version granted.  */
  bool has_seen_not_held;
  /* Number of this pilot's last term: the fencing token of its election.  The
     commands to engines carry tokens computed from it, see
     SWITCHER_FENCES_PER_TERM.  */
  uint64_t fence;
  /* The rest is valid only during a term.  */
  members_t *members;
  switcher_t *switcher;
  work_time_t *work;               /* since the last switch ended */
  store_mirror_t *own_mirror;      /* keys that this system writes */
  store_mirror_t *upstream_mirror; /* listings of the upstreams */
  store_mirror_t *rules_mirror;    /* the rules; NULL once they are known */
  char *service;                   /* service of this pilot's engine */
  planning_t *planning;            /* NULL until the rules are known */
  bool has_ignored_reply;          /* a reply that did not count was logged */
  struct timespec planned_at;      /* last plan */
  struct timespec wait_logged_at;
  struct timespec heartbeat_at; /* last heartbeat to the other pilots */
};

int64_t leader_ms_since (const leader_t *leader, struct timespec then);
/* Operation of members_ops_t.  */
void leader_on_reply (unsigned rank, rank_query_t query,
                      const rank_reply_t *reply, void *data);
void leader_start_planning (leader_t *leader, const engine_profile_t *engine);
void leader_stop_planning (leader_t *leader);
/* Returns a rank other than this pilot's whose pilot can act at once if this
   process fails or stops, preferably one that is not slow; this pilot's rank
   if there is none.  */
unsigned leader_choose_deputy (const leader_t *leader);
void leader_start_mirrors (leader_t *leader);
void leader_stop_reading_rules (leader_t *leader);
void leader_stop_mirrors (leader_t *leader);

#endif
