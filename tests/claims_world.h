#ifndef SISKIN_TESTS_CLAIMS_WORLD_H
#define SISKIN_TESTS_CLAIMS_WORLD_H

#include "fake_store.h"
#include "plugins/journal/claims.h"

/* Processes with their claims, a store that is late and loses answers, and
   callers, on a virtual clock.  */

enum
{
  OWNERS = 3,
  KEYS = 3,
  BODIES = 2, /* different requests under one key */
  SEEDS = 300,
  STEPS = 1500,
  STEP_MS = 5,
  CALL_TIMEOUT_MS = 200,
  LATE_MS = 3000,
  CALM_MS = 30000 /* until everything is settled */
};

/* A store call on its way.  */
typedef struct message
{
  LIST_ENTRY (message) link;
  struct owner *owner; /* NULL once its process is gone */
  store_txn_t *txn;
  claim_batch_t *batch;
  store_result_t *result;
  int64_t arrives_ms;
  int64_t answers_ms; /* -1: the answer is lost */
  int64_t gives_up_ms;
  bool is_applied;
} message_t;

/* A caller at one process.  */
typedef struct ask
{
  LIST_ENTRY (ask) link;
  struct world *world;
  struct owner *owner;
  journal_claim_t *claim;
  unsigned key;
  unsigned body;
  int64_t ends_ms;
  bool is_running;
} ask_t;

/* One process with its claims.  */
typedef struct owner
{
  struct world *world;
  claims_t *claims;
  unsigned index;
  int64_t paused_until_ms;
  int64_t lease_at_ms; /* -1: none asked for */
} owner_t;

typedef struct world
{
  unsigned seed;
  uint64_t random;
  uint64_t incarnation;
  int64_t now_ms;
  bool is_calm;
  fake_store_t *store;
  owner_t owners[OWNERS];
  LIST_HEAD (, message) messages;
  LIST_HEAD (, ask) asks;
  unsigned runs[KEYS];
  int ran_body[KEYS];
  unsigned verdicts[CLAIM_UNAVAILABLE + 1];
} world_t;

world_t *world_create (unsigned seed);
void world_destroy (world_t *world);
void world_advance (world_t *world);
void world_disturb (world_t *world);
void world_settle (world_t *world);
void owner_crash (owner_t *owner);
void ask_start (owner_t *owner, unsigned key, unsigned body,
                int64_t patience_ms);
void world_run_ms (world_t *world, int64_t duration_ms);

#endif
