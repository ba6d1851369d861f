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
/* Discards the known map in use, after a takeover or when the group was
   re-formed.  */
void planner_forget_map (planner_t *planner);
/* Whether it is known what RANK holds of the map VERSION.  */
bool planner_knows_rank (const planner_t *planner, unsigned rank,
                         uint64_t version);
/* Whether the map in use is known from all ranks and has VERSION.  */
bool planner_has_map (const planner_t *planner, uint64_t version);
/* Returns the only rank of which it is not known what it holds of the map
   VERSION, or -1.  */
int planner_unknown_rank (const planner_t *planner, uint64_t version);
/* Adds to the map in use, VERSION, what RANK holds in MAP.  */
void planner_adopt_rank (planner_t *planner, unsigned rank,
                         const placement_map_t *map, uint64_t version);
/* Adds to the map in use what RANK holds, from its reply to
   RANK_QUERY_HELD_EXPERTS.  Returns false and does nothing when the reply does
   not fit the shape of the group.  */
bool planner_read_map (planner_t *planner, unsigned rank,
                       const rank_reply_t *reply);
/* Adds token counts of a rank since its last reply.  Returns false and does
   nothing when the reply does not fit the shape of the group.  */
bool planner_add_counts (planner_t *planner, const rank_reply_t *reply);
/* Updates the popularity of the experts by the counts added since the last
   call.  To be called at even intervals, so that a shift shows in them; a plan
   does the same.  */
void planner_observe (planner_t *planner);
/* Whether counts were added since the last plan.  */
bool planner_has_new_counts (const planner_t *planner);
/* Returns the map in use; valid if planner_has_map.  */
const placement_map_t *planner_map (const planner_t *planner);
/* Returns the size of the reply of a rank with its counts, in numbers.  */
size_t planner_count_numbers (const planner_t *planner);
/* Sets the slowdown factor of RANK relative to its baseline.  The next plan
   uses it, also without new counts.  */
void planner_set_slowdown (planner_t *planner, unsigned rank, double slowdown);
/* Plans from the counts so far.  Returns whether the map should change; the
   plan's map belongs to PARENT.  */
bool planner_plan (planner_t *planner, TALLOC_CTX *parent,
                   placement_plan_t *plan);
/* Records that the group has switched to MAP, so that MAP, which is copied, is
   the one in use.  */
void planner_set_map (planner_t *planner, const placement_map_t *map,
                      uint64_t version);

#endif
