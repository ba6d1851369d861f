#ifndef SISKIN_RELAY_FORWARD_H
#define SISKIN_RELAY_FORWARD_H

#include "relay/event_stream.h"
#include "relay/relay.h"

/* One sending of a request to an upstream.  */
typedef struct forward_attempt
{
  egress_call_t *call;
  fleet_choice_t choice;
  struct timespec sent_at; /* monotonic */
  unsigned http_status;
  char *error;     /* why it failed, NULL if it did not */
  bool is_usable;  /* the head is of an answer that may be passed on */
  bool is_not_run; /* the upstream did not run the request */
  bool is_misdirected;
  bool is_passed;         /* what comes goes on to the client at once */
  http_headers_t headers; /* of the answer */
  char *body;             /* of an answer that is not passed on yet */
  size_t body_size;
  event_stream_t *events; /* NULL unless the answer is a stream of events */
} forward_attempt_t;

/* A request on its way through this relay; belongs to one worker.  */
struct forward
{
  LIST_ENTRY (forward) link;
  TAILQ_ENTRY (forward) wait_link;
  TAILQ_ENTRY (forward) heard_link;
  relay_worker_t *share;
  const relay_request_t *request;
  const forward_ops_t *ops;
  void *data;
  rules_t *rules;
  const route_t *route;
  const client_account_t *account; /* NULL for none */
  fleet_request_t wanted;
  struct timespec arrived_at; /* monotonic, like the rest */
  struct timespec deadline;
  struct timespec hold_until; /* without an upstream until then */
  forward_attempt_t *attempt; /* NULL between attempts */
  unsigned sends;             /* that reached an upstream, or may have */
  unsigned runs;              /* of these, those that ran, or may have */
  unsigned unreachable;       /* attempts that reached no upstream */
  bool is_waiting;
  bool is_watched;          /* for an upstream that falls silent */
  struct timespec heard_at; /* something came from the upstream */
  bool is_begun;            /* the client has the head of its answer */
  bool has_events;          /* which is a stream of events */
  bool is_paused;           /* the upstream waits for the client */
  struct timespec first_at; /* the client got the first of its answer */
  struct timespec last_at;  /* and the newest */
  int64_t longest_gap_ms;   /* between two parts of it */
  bool has_last_event;
  int64_t last_event; /* passed on to the client, or had before */
  worker_timer_t *deadline_timer;
};

void forward_dispatch (forward_t *forward);
void forward_finish (forward_t *forward, bool is_complete);
void forward_fail (forward_t *forward, relay_failure_t failure,
                   struct timespec retry_after);
void forward_refuse (forward_t *forward, const char *why);
void forward_finish_attempt (forward_t *forward, fleet_result_t result);
void forward_cancel_attempt (forward_t *forward, fleet_result_t result);
struct timespec forward_time_left (const forward_t *forward);
void forward_retry_queued (relay_worker_t *share);
bool forward_take_retry (forward_t *forward, unsigned under_way);

bool attempt_start (forward_t *forward, const fleet_choice_t *choice,
                    TALLOC_CTX *memory);

#endif
