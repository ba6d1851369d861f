#ifndef SISKIN_COMMON_SETTINGS_PEERS_H
#define SISKIN_COMMON_SETTINGS_PEERS_H

#include "common/config.h"
#include "common/node.h"
#include "kernel/pool.h"

/* Fetches the newest settings from the peers listed in the process's
   configuration file (config_t), so that it can start while the store is
   unavailable.  Received settings are not applied until every peer has
   reported an equal or lower revision or failed, or a timeout has passed.  */
typedef struct settings_peers settings_peers_t;

settings_peers_t *settings_peers_create (worker_t *worker, node_t *node,
                                         const config_t *config);
/* Stop asking the peers: close their connections and apply the newest settings
   received.  Called internally when the conditions stated at settings_peers_t
   are met, and by the owner when the settings were read from the store before
   that.  A second call has no effect.  */
void settings_peers_finish (settings_peers_t *peers);

#endif
