#ifndef SISKIN_TESTS_MAP_WORLD_H
#define SISKIN_TESTS_MAP_WORLD_H

#include "agent/group_coordinator.h"
#include "agent/group_rank.h"
#include "standin/rank_engine.h"

#include <sys/queue.h>
#include <talloc.h>

enum
{
  WORLD_RANKS = 3,
  WORLD_COORDINATORS = 2
};

typedef struct world world_t;

/* Something under way: a message between agents, or an order or answer
   between an agent and its engine.  */
typedef struct parcel
{
  TAILQ_ENTRY (parcel) link;
  int64_t due_ms;
  unsigned rank;
  unsigned coordinator;
  uint64_t agent_start; /* of the agent that an engine's answer is for */
  enum
  {
    PARCEL_ORDER,
    PARCEL_REPLY,
    PARCEL_ENGINE_ORDER,
    PARCEL_ENGINE_ANSWER
  } kind;
  group_command_t order;
  group_reply_t reply;
  group_engine_command_t engine_order;
  group_engine_state_t engine_state;
} parcel_t;

typedef struct world_rank
{
  world_t *world;
  unsigned index;
  group_rank_t *agent;
  uint64_t agent_start;
  rank_engine_t engine;
  uint64_t entered_map; /* of the step under way, 0 before it is entered */
  int64_t answer_by_ms; /* of the open engine order, 0 for none */
  unsigned reply_to;    /* coordinator that sent the newest order */
} world_rank_t;

typedef struct world_coordinator
{
  world_t *world;
  unsigned index;
  group_coordinator_t *state;
  uint64_t version; /* newest drawn */
  int64_t paused_until_ms;
} world_coordinator_t;

/* A whole lock-step group on a clock of its own.  */
struct world
{
  uint64_t random;
  int64_t now_ms;
  uint64_t calm; /* a fault of each kind once in so many milliseconds */
  unsigned loss_percent;
  unsigned delay_ms; /* the longest of a message */
  uint64_t margin;   /* steps from arming to a switch */
  bool is_store_down;
  uint64_t epoch; /* in the store */
  uint64_t starts;
  uint64_t step; /* under way */
  uint64_t steps_done;
  uint64_t mixed_steps; /* finished with more than one map */
  uint64_t last_map;
  unsigned committed;
  unsigned aborted;
  unsigned restarts;
  world_rank_t ranks[WORLD_RANKS];
  world_coordinator_t coordinators[WORLD_COORDINATORS];
  TAILQ_HEAD (, parcel) parcels;
};

world_t *world_create (uint64_t seed);
void world_destroy (world_t *world);
uint64_t world_random (world_t *world, uint64_t bound);
void world_tick (world_t *world);
void world_run (world_t *world, int64_t milliseconds);
void world_cause_faults (world_t *world);
bool world_lead (world_t *world, unsigned index);
bool world_switch (world_t *world, unsigned index);
void world_restart_agent (world_t *world, unsigned index);
void world_restart_engine (world_t *world, unsigned index);

#endif
