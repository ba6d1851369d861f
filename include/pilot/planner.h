#ifndef SISKIN_PILOT_PLANNER_H
#define SISKIN_PILOT_PLANNER_H

#include "common/rules.h"
#include "plugins/placement.h"
#include "plugins/rank_engine.h"

#include <talloc.h>

/* Computes the next expert map from the token counts of the ranks.  */
typedef struct planner planner_t;

planner_t *planner_create (TALLOC_CTX *parent, const engine_profile_t *engine,
                           unsigned rank_count);
void planner_destroy (planner_t *planner);
/* Discards the known map in use and the last counts, after a takeover or when
   the group was re-formed.  */
void planner_forget_map (planner_t *planner);
/* Whether the map in use is known from all ranks and has VERSION.  */
bool planner_has_map (const planner_t *planner, uint64_t version);
/* Adds to the map in use what RANK holds, from its reply to
   RANK_QUERY_HELD_EXPERTS.  Returns false when the reply does not fit the
   shape of the group.  */
bool planner_read_map (planner_t *planner, unsigned rank,
                       const rank_reply_t *reply);
void planner_add_counts (planner_t *planner, unsigned rank,
                         const rank_reply_t *reply);
void planner_set_slowdown (planner_t *planner, unsigned rank, double slowdown);
bool planner_plan (planner_t *planner, TALLOC_CTX *parent,
                   placement_plan_t *plan);
/* Records that the group has switched to MAP, so that MAP, which is copied, is
   the one in use.  */
void planner_set_map (planner_t *planner, const placement_map_t *map,
                      uint64_t version);

#endif
