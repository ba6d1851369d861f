#ifndef SISKIN_PLUGINS_ENGINE_H
#define SISKIN_PLUGINS_ENGINE_H

#include "agent/group_rank.h"
#include "common/frame.h"
#include "kernel/pool.h"
#include "plugins/placement.h"

#include <stddef.h>

/* Orders to the model engine of one rank, on one worker.  */
typedef struct engine engine_t;

/* The engine's state after an order, and what it computed since it took the
   map that it uses.  */
typedef struct engine_response
{
  group_engine_state_t state;
  placement_shape_t shape;
  uint64_t work;          /* tokens */
  uint64_t busy_us;       /* without the wait for other ranks */
  const uint64_t *tokens; /* by layer and slot */
  size_t token_count;
  blob_t maps; /* empty unless asked for */
} engine_response_t;

/* ANSWER is NULL unless STATUS is STATUS_OK, and valid during the call.  With
   any other status the order may have been carried out.  */
typedef void (*engine_done_t) (status_t status,
                               const engine_response_t *answer, void *data);

typedef struct engine_ops
{
  engine_t *(*create) (worker_t *worker, const char *url);
  void (*destroy) (engine_t *engine);
  /* MAPS holds the maps that ORDER names.  DONE runs from the loop, once;
     orders are sent one after the other.  */
  status_t (*order) (engine_t *engine, const group_engine_command_t *order,
                     blob_t maps, bool wants_maps, engine_done_t done,
                     void *data);
} engine_ops_t;

#endif
