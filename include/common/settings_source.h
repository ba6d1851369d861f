#ifndef SISKIN_COMMON_SETTINGS_SOURCE_H
#define SISKIN_COMMON_SETTINGS_SOURCE_H

#include "common/config.h"
#include "common/node.h"
#include "kernel/pool.h"
#include "plugins/store.h"

/* Keeps the settings of a process at the newest revision in the store.  */
typedef struct settings_source settings_source_t;

settings_source_t *settings_source_create (worker_t *worker, node_t *node,
                                           const config_t *config,
                                           const store_ops_t *store_ops,
                                           store_t *store);
void settings_source_destroy (settings_source_t *source);

#endif
