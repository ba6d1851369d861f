#ifndef SISKIN_PILOT_PLANNING_H
#define SISKIN_PILOT_PLANNING_H

#include "pilot/planner.h"
#include "pilot/switcher.h"
#include "pilot/work_time.h"

/* Decides when a leader queries the ranks for their counts and for what they
   hold, when it plans, and when it starts to switch to a plan.  A state
   machine without I/O: it sends queries through its operations and receives
   the replies and reports through the planning_handle_* calls.  Belongs to one
   worker.  */
typedef struct planning planning_t;

/* A plan that was made.  */
typedef struct planning_result
{
  const placement_plan_t *plan;
  const placement_map_t *base; /* the map in use */
  struct timespec started_at;
  struct timespec switched_at; /* last switch; zero if none in this term */
  int64_t counts_ms;           /* duration of the last round of counts */
  bool is_early; /* some ranks have not answered the leader's claim */
} planning_result_t;

typedef struct planning_ops
{
  /* Queries RANK.  Returns whether a query was sent, which at most one reply
     follows.  */
  bool (*query) (unsigned rank, rank_query_t query, void *data);
  /* Bytes that the leader's link transfers in MS milliseconds.  */
  size_t (*link_bytes) (int64_t ms, void *data);
  /* Returns a map known from earlier leaders that holds the same as PARTIAL on
     all ranks but EXCEPT, or NULL.  Valid until the next call.  */
  const placement_map_t *(*find_map) (const placement_map_t *partial,
                                      unsigned except, void *data);
  /* A plan was made.  If it is a change, a switch to its map starts after this
     call.  */
  void (*on_plan) (const planning_result_t *result, void *data);
  /* RANK has become slow or has recovered, or its slowdown has changed much:
     a plan with SLOWDOWN follows.  */
  void (*on_pace) (unsigned rank, double slowdown, bool is_slow, void *data);
} planning_ops_t;

enum
{
  PLANNING_TICK_INTERVAL_MS = 50
};

/* Creates the planning of a term for RANK_COUNT engines of the profile ENGINE.
   SWITCHER, WORK, OPS and DATA must outlive it.  Returns NULL when the engines
   have no experts to move or memory is exhausted.  */
planning_t *planning_create (TALLOC_CTX *parent,
                             const engine_profile_t *engine,
                             unsigned rank_count, switcher_t *switcher,
                             work_time_t *work, const planning_ops_t *ops,
                             void *data);
void planning_destroy (planning_t *planning);
void planning_handle_report (planning_t *planning, unsigned rank,
                             const rank_report_t *report, struct timespec now);
/* Handles the reply of RANK to QUERY; REPLY is NULL if it did not reply.
   Returns false if a reply is ignored: it is of an earlier epoch, or does not
   fit the group.  */
bool planning_handle_reply (planning_t *planning, unsigned rank,
                            rank_query_t query, const rank_reply_t *reply);
/* Whether RANK is slow, and how many ranks are.  */
bool planning_is_slow (const planning_t *planning, unsigned rank);
unsigned planning_slow_ranks (const planning_t *planning);
/* Handles an event of the switcher.  */
void planning_handle_event (planning_t *planning, switcher_event_t event,
                            struct timespec now);
/* Queries and plans as needed.  To be called every
   PLANNING_TICK_INTERVAL_MS.  */
void planning_tick (planning_t *planning, struct timespec now);

#endif
