#ifndef SISKIN_PLUGINS_EGRESS_H
#define SISKIN_PLUGINS_EGRESS_H

#include "kernel/pool.h"
#include "kernel/status.h"
#include "relay/request.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Sends the relay's requests to upstreams, on one worker.  */
typedef struct egress egress_t;
typedef struct egress_call egress_call_t;

/* One attempt to send a request to one upstream.  */
typedef struct egress_send
{
  const relay_request_t *request;
  const char *upstream;      /* id; others at ADDRESS reject the request */
  const char *address;       /* IP:PORT */
  const char *account;       /* NULL for none */
  struct timespec time_left; /* until the deadline */
  bool has_urgency;
  int64_t urgency; /* queue priority; 0 is served first */
  bool has_resume_after;
  int64_t resume_after; /* id of the event after which a stream continues */
  /* No layer may send the request a second time.  */
  bool is_sent_once;
} egress_send_t;

/* The load that an upstream reports with a response.  */
typedef struct egress_load
{
  bool is_known;
  uint64_t running; /* requests */
  uint64_t waiting; /* requests */
  uint64_t slots;   /* requests that it can run at once */
} egress_load_t;

/* Status and header of an upstream's response.  */
typedef struct egress_head
{
  unsigned http_status;
  const http_headers_t *headers; /* end-to-end fields only */
  bool is_from_upstream;     /* stamped by an upstream as its own response */
  bool is_for_other_request; /* the response belongs to another request */
  bool is_not_run;           /* the upstream did not run the request */
  bool is_misdirected;       /* another upstream has the address now */
  bool is_body_encoded; /* a content coding was applied: the body is not as the
                           upstream produced it */
  egress_load_t load;
} egress_head_t;

typedef struct egress_events
{
  /* Return false to end the call; on_done follows with STATUS_REFUSED.  */
  bool (*on_head) (const egress_head_t *head, void *data);
  /* Return false to pause; the same bytes are passed again after proceed.  */
  bool (*on_data) (const char *bytes, size_t size, void *data);
  /* The call has ended and must not be used any more.  STATUS_OK: the response
     is complete.  MAY_HAVE_RUN is false only when no byte of the request
     left this process.  */
  void (*on_done) (status_t status, bool may_have_run, void *data);
} egress_events_t;

typedef struct egress_ops
{
  egress_t *(*create) (worker_t *worker);
  void (*destroy) (egress_t *egress);
  /* Start a call.  Returns NULL when it cannot be started; nothing was sent in
     that case.  The events are called from the event loop.  */
  egress_call_t *(*send) (egress_t *egress, const egress_send_t *send,
                          const egress_events_t *events, void *data);
  /* Abort and free the call without further events.  Must not be called from
     the call's own events.  */
  void (*cancel) (egress_call_t *call);
  /* Continue a call that on_data paused.  */
  void (*proceed) (egress_call_t *call);
} egress_ops_t;

#endif
