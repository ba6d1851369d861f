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
  const char *upstream;      /* id; another upstream at ADDRESS rejects the
                                request (is_misdirected) */
  const char *address;       /* IP:PORT */
  const char *account;       /* NULL for none */
  struct timespec time_left; /* time until the deadline */
  bool has_urgency;
  /* Class in the upstream's queue: 0 is served first, higher values later.  It
     is the priority of the account or route, increased for a late request.  */
  int64_t urgency;
  bool has_resume_after;
  int64_t resume_after; /* id of the event after which a stream continues */
  /* Use a new connection, which serves only this attempt.  On a reused
     connection the attempt can fail because of unread data of an earlier
     response, or because the upstream has just closed it.  Needed where such a
     failure matters: for requests that cannot be retried, and for retries.
     Other attempts save the time to connect.  */
  bool needs_own_connection;
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
  /* The response has the header field that every upstream adds to its own
     responses.  Without it, something else, such as a proxy, responded.  */
  bool is_from_upstream;
  /* The response has the id of another request, or none on a connection that
     other requests used before, so it must not be used.  */
  bool is_for_other_request;
  /* The body has neither a length nor chunks, so it ends with the connection,
     whether the upstream has ended or not.  */
  bool has_open_end;
  bool is_not_run; /* the upstream states that it did not run the request */
  bool is_misdirected; /* another upstream has the address now */
  /* The request was rejected for what its client asked for, or because another
     upstream has the address now; the response doesn't tell which.  */
  bool is_sender_unknown;
  bool is_body_encoded; /* a content coding was applied: the body is not as the
                           upstream produced it */
  egress_load_t load;
  /* Requests a second that the upstream accepts from all relays together;
     negative if it names no limit.  */
  double rate_limit;
  bool is_leaving; /* the upstream is about to stop */
  /* The upstream was not available, and wants no requests of this relay for so
     long; zero if it names no time.  */
  struct timespec pause;
} egress_head_t;

/* How far a request got.  */
typedef enum egress_reach
{
  EGRESS_REFUSED,  /* nothing listens at the upstream's address */
  EGRESS_NOT_SENT, /* no byte of the request left this process */
  EGRESS_SENT      /* it may have run */
} egress_reach_t;

typedef struct egress_events
{
  /* Return false to end the call; on_done follows with STATUS_REFUSED.  */
  bool (*on_head) (const egress_head_t *head, void *data);
  /* Return false to pause; the same bytes are passed again after proceed.  */
  bool (*on_data) (const char *bytes, size_t size, void *data);
  /* The call has ended and must not be used any more.  STATUS_OK: the response
     is complete.  REACH is EGRESS_SENT also after a head with is_not_run, by
     which the upstream rules out that the request has run.  */
  void (*on_done) (status_t status, egress_reach_t reach, void *data);
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
  /* End the call from within its on_data; on_done follows with
     STATUS_REFUSED.  */
  void (*fail) (egress_call_t *call);
  /* Continue a call that on_data paused.  */
  void (*proceed) (egress_call_t *call);
} egress_ops_t;

#endif
