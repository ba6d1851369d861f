#ifndef SISKIN_PLUGINS_ENGINE_H
#define SISKIN_PLUGINS_ENGINE_H

#include "agent/group_rank.h"
#include "common/frame.h"
#include "kernel/pool.h"
#include "plugins/placement.h"

#include <stddef.h>

/* Client that sends commands to the model engine of one rank.  It belongs to
   one worker.  */
typedef struct engine engine_t;

/* The engine's state after a command, and the work it has computed since it
   switched to its current map.  */
typedef struct engine_response
{
  group_engine_state_t state;
  placement_shape_t shape; /* numbers of layers, ranks, experts and slots */
  uint64_t work;           /* computed tokens */
  uint64_t busy_us;        /* compute time, without waiting for other ranks */
  /* Processed tokens, ordered by layer and slot; a slot is a place for the
     weights of one expert on the rank.  */
  const uint64_t *tokens;
  size_t token_count;
  blob_t maps; /* encoded expert maps; empty unless WANTS_MAPS was set */
} engine_response_t;

/* RESPONSE is NULL unless STATUS is STATUS_OK, and valid during the call.  On
   error the engine may or may not have executed the command.  */
typedef void (*engine_done_t) (status_t status,
                               const engine_response_t *response, void *data);

typedef struct engine_ops
{
  engine_t *(*create) (worker_t *worker, const char *url);
  void (*destroy) (engine_t *engine);
  /* Send COMMAND; MAPS holds the encoded expert maps that it refers to.  If
     WANTS_MAPS is set, the engine returns the maps that it has.  DONE runs
     once from the event loop.  The caller sends the next command only after
     DONE.  */
  status_t (*send_command) (engine_t *engine,
                            const group_engine_command_t *command, blob_t maps,
                            bool wants_maps, engine_done_t done, void *data);
} engine_ops_t;

#endif
