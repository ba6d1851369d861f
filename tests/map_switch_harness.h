#ifndef SISKIN_TESTS_MAP_SWITCH_HARNESS_H
#define SISKIN_TESTS_MAP_SWITCH_HARNESS_H

#include "agent/group_coordinator.h"
#include "agent/group_rank.h"
#include "standin/rank_engine.h"

#include <sys/queue.h>
#include <talloc.h>

enum
{
  HARNESS_RANKS = 3,
  HARNESS_COORDINATORS = 2
};

typedef struct harness harness_t;

/* A message in transit: between two agents, or between an agent and its
   engine.  */
typedef struct message
{
  TAILQ_ENTRY (message) link;
  int64_t due_ms;
  unsigned rank;
  unsigned coordinator;
  /* Identifies the start of the agent that an engine's response is for.  */
  uint64_t agent_start;
  enum
  {
    MESSAGE_COMMAND,
    MESSAGE_REPLY,
    MESSAGE_ENGINE_COMMAND,
    MESSAGE_ENGINE_RESPONSE
  } kind;
  group_command_t command;
  group_reply_t reply;
  group_engine_command_t engine_command;
  group_engine_state_t engine_state;
} message_t;

typedef struct harness_rank
{
  harness_t *harness;
  unsigned index;
  group_rank_t *agent;
  uint64_t agent_start;
  rank_engine_t engine;
  /* Map version used in the current step; 0 before the step has begun.  */
  uint64_t entered_map;
  int64_t response_due_ms; /* timeout of the open engine command, 0 for none */
  unsigned reply_to;       /* coordinator that sent the newest command */
} harness_rank_t;

typedef struct harness_coordinator
{
  harness_t *harness;
  unsigned index;
  group_coordinator_t *state;
  uint64_t version; /* newest map version that it has generated */
  int64_t paused_until_ms;
} harness_coordinator_t;

/* A lock-step group with its own virtual clock, network and store.  */
struct harness
{
  uint64_t random;
  int64_t now_ms;
  uint64_t fault_interval_ms; /* average time between faults of one kind */
  unsigned loss_percent;
  unsigned max_delay_ms; /* maximum delay of a message */
  uint64_t margin_steps; /* steps from arming to a switch */
  bool is_store_down;
  uint64_t epoch;  /* newest epoch in the store */
  uint64_t starts; /* starts of agents and engines so far */
  uint64_t step;   /* current step */
  uint64_t steps_done;
  uint64_t mixed_steps; /* steps in which ranks used different maps */
  uint64_t last_map;
  unsigned committed;
  unsigned aborted;
  unsigned restarts;
  harness_rank_t ranks[HARNESS_RANKS];
  harness_coordinator_t coordinators[HARNESS_COORDINATORS];
  TAILQ_HEAD (, message) messages;
};

harness_t *harness_create (uint64_t seed);
void harness_destroy (harness_t *harness);
uint64_t harness_random (harness_t *harness, uint64_t bound);
void harness_tick (harness_t *harness);
void harness_run (harness_t *harness, int64_t milliseconds);
void harness_inject_faults (harness_t *harness);
bool harness_start_term (harness_t *harness, unsigned index);
bool harness_start_switch (harness_t *harness, unsigned index);
void harness_restart_agent (harness_t *harness, unsigned index);
void harness_restart_engine (harness_t *harness, unsigned index);

#endif
