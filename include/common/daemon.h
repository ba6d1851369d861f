#ifndef SISKIN_COMMON_DAEMON_H
#define SISKIN_COMMON_DAEMON_H

#include "common/config.h"
#include "common/http_server.h"
#include "common/node.h"
#include "kernel/clock.h"
#include "kernel/pool.h"
#include "kernel/status.h"

/* Common parts of the long-running programs: command line, log, workers,
   signals, the admin HTTP server and the graceful stop.  */
typedef struct daemon daemon_t;

typedef struct daemon_program
{
  const char *name;
  const char *summary;
  node_role_t role;
  /* Set up the workers' event loops and store the program's state in *STATE;
     the worker threads start afterwards.  */
  status_t (*start) (daemon_t *daemon, void **state);
  /* Begin the graceful stop.  Called on worker 0.  The program calls
     daemon_finish when no request is open any more.  */
  void (*stop) (void *state);
  /* Apply those settings in NEW_CONFIG that can change while the program runs.
     Called on worker 0.  NULL when none can.  */
  void (*reload) (void *state, const config_t *new_config);
  /* Reply to a request to the admin server for a page of the program's own.
     Returns false if there is no such page.  Called on worker 0.  NULL for
     none.  */
  bool (*on_admin_request) (void *state, http_exchange_t *exchange);
  /* Free STATE.  Called when no worker runs any more.  */
  void (*destroy) (void *state);
} daemon_program_t;

/* Objects that daemon_embed builds a daemon from; the caller keeps ownership
   of all of them.  */
typedef struct daemon_parts
{
  config_t *config;
  node_t *node;
  pool_t *pool;
  void (*on_finish) (void *data); /* called when the graceful stop is done */
  void *data;
} daemon_parts_t;

int daemon_main (const daemon_program_t *program, int argc, char **argv);
const config_t *daemon_config (const daemon_t *daemon);
node_t *daemon_node (const daemon_t *daemon);
pool_t *daemon_pool (const daemon_t *daemon);
void daemon_finish (daemon_t *daemon);

/* Start PROGRAM within the calling process, without signal handling and admin
   server, so that one process can run several programs.  The simulator runs
   the processes of a whole system in this way.  Returns NULL with the status
   message set on failure.  */
daemon_t *daemon_embed (TALLOC_CTX *parent, const daemon_program_t *program,
                        const daemon_parts_t *parts);
void daemon_stop (daemon_t *daemon);
void daemon_destroy (daemon_t *daemon);

#endif
