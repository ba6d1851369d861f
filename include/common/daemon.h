#ifndef SISKIN_COMMON_DAEMON_H
#define SISKIN_COMMON_DAEMON_H

#include "common/config.h"
#include "common/node.h"
#include "kernel/clock.h"
#include "kernel/pool.h"
#include "kernel/status.h"

/* What the programs that stay up have in common: command line, log, workers,
   signals, counters over HTTP and the planned stop.  */
typedef struct daemon daemon_t;

typedef struct daemon_program
{
  const char *name;
  const char *summary;
  node_role_t role;
  /* Set up the workers' loops; the threads start afterwards.  */
  status_t (*start) (daemon_t *daemon, void **state);
  /* Begin the planned stop: on worker 0.  Call daemon_finish when no request
     is left.  */
  void (*stop) (void *state);
  /* Put what may change while the program runs in force, from the process's
     own settings as they are now: on worker 0.  NULL when nothing may.  */
  void (*reload) (void *state, const config_t *fresh);
  /* Free everything; the workers are at rest.  */
  void (*destroy) (void *state);
} daemon_program_t;

/* What daemon_embed builds a daemon from; all stay the caller's.  */
typedef struct daemon_parts
{
  config_t *config;
  node_t *node;
  pool_t *pool;
  void (*on_finish) (void *data); /* the planned stop is done */
  void *data;
} daemon_parts_t;

int daemon_main (const daemon_program_t *program, int argc, char **argv);
const config_t *daemon_config (const daemon_t *daemon);
node_t *daemon_node (const daemon_t *daemon);
pool_t *daemon_pool (const daemon_t *daemon);
void daemon_finish (daemon_t *daemon);

daemon_t *daemon_embed (TALLOC_CTX *parent, const daemon_program_t *program,
                        const daemon_parts_t *parts);
void daemon_stop (daemon_t *daemon);
void daemon_destroy (daemon_t *daemon);

#endif
