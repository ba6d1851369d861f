#ifndef SISKIN_PILOT_PILOT_H
#define SISKIN_PILOT_PILOT_H

#include "common/daemon.h"
#include "common/gossip.h"
#include "common/lease_key.h"
#include "common/link.h"
#include "pilot/engine_commands.h"
#include "pilot/expert_counts.h"
#include "pilot/map_history.h"
#include "plugins/catalog.h"
#include "plugins/rank_engine.h"
#include "plugins/store.h"

#include <sys/queue.h>

typedef struct reporter reporter_t;
typedef struct pilot_server pilot_server_t;
typedef struct leader leader_t;

/* The process beside one upstream, whose engine normally is a rank of a group.
   All its state belongs to worker 0.  */
typedef struct pilot
{
  daemon_t *daemon;
  node_t *node;
  worker_t *worker;
  const clock_source_t *clock;
  const catalog_ops_t *catalog_ops;
  const store_ops_t *store_ops;
  const rank_engine_ops_t *engine_ops;
  store_t *store;
  rank_engine_t *engine;       /* client of the engine beside this pilot */
  engine_commands_t *commands; /* to that engine */
  lease_key_t *registration;   /* NULL until the first report */
  char *registered;            /* value of the registration key */
  expert_counts_t *counts;     /* what was reported of the engine's counts */
  map_history_t *maps;         /* maps received from leaders */
  gossip_t *gossip;            /* what relays tell each other through here */
  reporter_t *reporter;
  pilot_server_t *server;
  leader_t *leader;
} pilot_t;

struct timespec pilot_now (const pilot_t *pilot);
const char *pilot_upstream (const pilot_t *pilot);
void pilot_register (pilot_t *pilot, const rank_report_t *report);

#endif
