#ifndef SISKIN_PLUGINS_EGRESS_H
#define SISKIN_PLUGINS_EGRESS_H

#include "kernel/pool.h"
#include "kernel/status.h"
#include "relay/request.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* The way from the relay to upstreams, on one worker.  */
typedef struct egress egress_t;
typedef struct egress_call egress_call_t;

/* One sending of a request to one upstream.  */
typedef struct egress_send
{
  const relay_request_t *request;
  const char *upstream; /* id; any other at ADDRESS will not run it */
  const char *address;  /* IP:PORT */
  const char *account;  /* NULL for none */
  struct timespec time_left;
  bool has_urgency;
  int64_t urgency; /* 0 is served first */
  bool has_resume_after;
  int64_t resume_after; /* a stream goes on after this event */
  /* Not to be sent a second time by any layer.  */
  bool is_sent_once;
} egress_send_t;

/* What an upstream told of its load with an answer.  */
typedef struct egress_load
{
  bool is_known;
  uint64_t running;
  uint64_t waiting;
  uint64_t slots;
} egress_load_t;

/* The start of an upstream's answer.  */
typedef struct egress_head
{
  unsigned http_status;
  const http_headers_t *headers; /* end to end ones */
  bool is_from_upstream;         /* it is an upstream's answer */
  bool is_other_request;         /* it belongs to another request */
  bool is_not_run;               /* the upstream did not run the request */
  bool is_misdirected;           /* another upstream has the address now */
  bool is_body_encoded;          /* the body is not as the upstream made it */
  egress_load_t load;
} egress_head_t;

typedef struct egress_events
{
  /* Returns false to end the call; on_done follows with STATUS_REFUSED.  */
  bool (*on_head) (const egress_head_t *head, void *data);
  /* Returns false to pause; the same bytes come again after proceed.  */
  bool (*on_data) (const char *bytes, size_t size, void *data);
  /* The call ended and is gone.  STATUS_OK: the answer is whole.
     MAY_HAVE_RUN is false only when no byte of the request left this
     process.  */
  void (*on_done) (status_t status, bool may_have_run, void *data);
} egress_events_t;

typedef struct egress_ops
{
  egress_t *(*create) (worker_t *worker);
  void (*destroy) (egress_t *egress);
  /* NULL when the call cannot start; nothing was sent then.  The events come
     from the loop.  */
  egress_call_t *(*send) (egress_t *egress, const egress_send_t *send,
                          const egress_events_t *events, void *data);
  /* Not to be called from the call's own events.  */
  void (*cancel) (egress_call_t *call);
  void (*proceed) (egress_call_t *call);
} egress_ops_t;

#endif
