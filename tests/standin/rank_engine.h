#ifndef SISKIN_TESTS_RANK_ENGINE_H
#define SISKIN_TESTS_RANK_ENGINE_H

#include "agent/group_rank.h"

/* A model engine that is one rank of a lock-step group, as far as its expert
   map goes.  It ignores fences unless CHECKS_FENCE is set.  */
typedef struct rank_engine
{
  group_engine_state_t state;
  bool checks_fence;
  group_fence_t fence;
  int64_t load_ms;      /* how long weights take to load */
  int64_t loaded_at_ms; /* of the version being loaded */
} rank_engine_t;

void rank_engine_restart (rank_engine_t *engine, uint64_t incarnation);
bool rank_engine_execute (rank_engine_t *engine,
                          const group_engine_command_t *order, int64_t now_ms);
uint64_t rank_engine_map_version (const rank_engine_t *engine, uint64_t step);
uint64_t rank_engine_enter_step (rank_engine_t *engine, uint64_t step);

#endif
