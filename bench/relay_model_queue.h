#ifndef SISKIN_BENCH_RELAY_MODEL_QUEUE_H
#define SISKIN_BENCH_RELAY_MODEL_QUEUE_H

#include "relay/fleet.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

/* The queue of a relay for requests that cannot be sent yet, as the model uses
   it.  A design is a table of functions, so that the queue of production can
   take the place of a modelled one.  */
typedef struct model_queue model_queue_t;

/* A request in the queue.  */
typedef struct queue_item
{
  TAILQ_ENTRY (queue_item) link;
  bool is_queued;
  unsigned priority; /* 0 first */
  unsigned account;
  unsigned objective_ms;
  uint64_t arrived_ms;  /* at this relay */
  uint64_t deadline_ms; /* of the client */
  /* Likely to miss its objective if it is sent now.  Set by the queue before
     it tries the request.  */
  bool is_late;
} queue_item_t;

/* What became of a queued request that was tried.  Unless it stays queued, it
   has been taken out of the queue and must not be used any more.  */
typedef enum queue_result
{
  QUEUE_STAYS,
  QUEUE_SENT,
  QUEUE_ENDED /* refused, or out of time */
} queue_result_t;

typedef queue_result_t (*queue_try_t) (queue_item_t *item, void *data);

typedef struct queue_ops
{
  const char *name;
  model_queue_t *(*create) (TALLOC_CTX *parent);
  void (*add) (model_queue_t *queue, queue_item_t *item);
  void (*remove) (model_queue_t *queue, queue_item_t *item);
  unsigned (*count) (const model_queue_t *queue);
  /* Try the queued requests in the order of this design.  */
  void (*retry) (model_queue_t *queue, uint64_t now_ms, queue_try_t try_send,
                 void *data);
  /* Return the time after which the client of ITEM, which cannot be sent now
     because of SHORTAGE in FLEET, may return, or a negative number if it is
     queued instead.  */
  int64_t (*refuse_ms) (const model_queue_t *queue, const queue_item_t *item,
                        fleet_t *fleet, fleet_shortage_t shortage,
                        uint64_t now_ms);
} queue_ops_t;

/* Return the time after which the client of ITEM may return if nothing better
   is known.  */
int64_t queue_default_retry_ms (const queue_item_t *item, uint64_t now_ms);

/* Return the design NAME, or today's if NAME is NULL; NULL if there is
   none.  */
const queue_ops_t *queue_ops_find (const char *name);

#endif
