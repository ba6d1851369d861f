#ifndef SISKIN_COMMON_SETTINGS_PEERS_H
#define SISKIN_COMMON_SETTINGS_PEERS_H

#include "common/config.h"
#include "common/node.h"
#include "kernel/pool.h"

/* Asks the peers of a process's own settings for the newest revision, for a
   start while the store is down.  Until all have answered, or the time for
   that is over, nothing is in force.  */
typedef struct settings_peers settings_peers_t;

settings_peers_t *settings_peers_create (worker_t *worker, node_t *node,
                                         const config_t *config);
void settings_peers_finish (settings_peers_t *peers);

#endif
