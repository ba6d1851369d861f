#ifndef SISKIN_RELAY_FORWARD_H
#define SISKIN_RELAY_FORWARD_H

#include "relay/event_stream.h"
#include "relay/relay.h"
#include "relay/request_queue.h"

/* One attempt to send a request to an upstream.  */
typedef struct forward_attempt
{
  egress_call_t *call;
  fleet_choice_t choice;
  struct timespec sent_at; /* monotonic */
  unsigned http_status;
  char *error;         /* message for the log; NULL if there was no error */
  bool is_usable;      /* the response may be sent to the client */
  bool is_not_run;     /* the upstream did not run the request */
  bool is_misdirected; /* another upstream has the address now */
  bool has_open_end;   /* the end of the connection ends the response */
  /* Data is sent to the client as it arrives: the response is an event stream
     of a streaming route, or too large for the buffer.  Any other response is
     buffered until it is complete, so that the request can be retried.  */
  bool is_passthrough;
  http_headers_t headers; /* response headers */
  char *body;             /* response data that is buffered */
  size_t body_size;
  event_stream_t *events; /* NULL unless the response is an event stream */
  memory_holder_t memory; /* of BODY and EVENTS */
  bool is_out_of_memory;  /* there was no room for EVENTS */
  unsigned event_count;   /* events received */
  double rate_limit;      /* named by the upstream; negative for none */
} forward_attempt_t;

/* A client request that is being forwarded; belongs to one worker.  */
struct forward
{
  LIST_ENTRY (forward) link;
  queued_request_t queued; /* in RELAY_WORKER's QUEUE while it waits */
  bool has_waited;         /* it has been queued */
  TAILQ_ENTRY (forward) watch_link;
  relay_worker_t *relay_worker;
  const relay_request_t *request;
  const forward_ops_t *ops;
  void *data;
  rules_t *rules;
  const route_t *route;
  const client_account_t *account; /* NULL for none */
  /* What the request is known by if its upstream crashes: the segments of its
     prompt, or DIGEST if it has none.  */
  const uint64_t *segments;
  unsigned segment_count;
  uint64_t digest;
  fleet_request_t criteria;   /* what the choice of an upstream depends on */
  struct timespec arrived_at; /* all times are monotonic */
  struct timespec deadline;
  forward_attempt_t *attempt; /* NULL between attempts */
  /* Attempts that have ended.  An attempt counts as sent if any byte of the
     request may have left this process, and also as run unless the upstream
     has rejected the request without running it.  The route's max_attempts
     limits RUN_ATTEMPTS; SENT_ATTEMPTS may exceed it by a fixed number.  A
     request that may have run is retried only if the route allows it
     (forward_reserve_retry).  */
  unsigned sent_attempts;
  unsigned run_attempts;
  unsigned unreachable_attempts; /* no byte left this process */
  unsigned broken_attempts;      /* broken off by their upstreams */
  /* If the last one of these has crashed its upstream, the request is proved
     to be the cause.  */
  bool is_presumed_harmful;
  bool is_watched; /* RELAY_WORKER's list WATCHED contains it */
  /* When the attempt was started or data last arrived from the upstream; valid
     if IS_WATCHED.  */
  struct timespec last_received_at;
  bool is_head_sent; /* the client has the response head */
  bool has_events;   /* the response is an event stream */
  /* No data is read from the upstream until the client has read more.  */
  bool is_paused;
  /* When the first data was sent to the client.  */
  struct timespec first_data_at;
  /* When the last data was sent to the client.  */
  struct timespec last_data_at;
  int64_t longest_gap_ms; /* longest time between two sends of data to the
                             client */
  bool has_last_event;
  int64_t last_event; /* id of the last event that the client has got */
  worker_timer_t *deadline_timer;
};

int64_t forward_ms_since (const forward_t *forward, struct timespec then);
struct timespec forward_remaining_time (const forward_t *forward);
/* Tries to send the request; frees it if the result is QUEUE_ENDED.  */
queue_result_t forward_dispatch (forward_t *forward);
/* Ends the request at the end of a planned stop.  A response that has begun is
   left to be cut off.  */
void forward_end_for_stop (forward_t *forward);
void forward_finish (forward_t *forward, bool is_complete);
void forward_fail (forward_t *forward, relay_failure_t failure,
                   struct timespec retry_after);
/* forward_fail with RELAY_NOT_RUN, for a request that no upstream has run: it
   was not sent, or every upstream has stated that it did not run it.  */
void forward_fail_not_run (forward_t *forward, const char *why);
/* Ends a request that is not sent to another upstream.  RETRY_AFTER applies if
   no upstream has run it.  */
void forward_give_up (forward_t *forward, const char *why,
                      struct timespec retry_after);
struct timespec forward_default_retry_after (const forward_t *forward);

/* The requests of a worker that cannot be sent yet (forward_queue.c).  */
queue_result_t forward_wait_or_fail (forward_t *forward, bool is_temporary,
                                     const char *why);
bool forward_must_queue (const forward_t *forward);
void forward_retry_queued (relay_worker_t *relay_worker);

/* One attempt, and its response (attempt.c).  */
bool attempt_start (forward_t *forward, const fleet_choice_t *choice,
                    TALLOC_CTX *choice_ctx);
/* Returns how far ATTEMPT has got, as recorded for suspects.  */
uint64_t attempt_progress (const forward_attempt_t *attempt);
void forward_send_head (forward_t *forward, bool has_length);
void forward_send_data (forward_t *forward, const char *bytes, size_t size);

/* The end of an attempt (attempt_end.c).  */
/* Operation of egress_events_t.  */
void attempt_on_done (status_t status, egress_reach_t reach, void *data);
void forward_finish_attempt (forward_t *forward, fleet_result_t result);
void forward_cancel_attempt (forward_t *forward, fleet_result_t result);
/* Returns whether the request may be sent again, and if so charges the retry
   budget.  CURRENT_ATTEMPTS is 1 while the attempt to be retried is still in
   progress, and 0 when it has ended.  */
bool forward_reserve_retry (forward_t *forward, unsigned current_attempts);

#endif
