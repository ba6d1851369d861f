#ifndef SISKIN_RELAY_REQUEST_QUEUE_H
#define SISKIN_RELAY_REQUEST_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>
#include <time.h>

/* The requests of one worker that no upstream can take yet, and the order in
   which they are tried again.  It addresses the load condition in which a
   service gets more requests than its upstreams can run.  Independent of the
   encoding of messages; belongs to one worker.  */
typedef struct request_queue request_queue_t;

struct request_class;

/* Embedded in each queued request.  The owner sets all but LINK and CLASS
   before it is queued.  */
typedef struct queued_request
{
  TAILQ_ENTRY (queued_request) link;
  const char *service;
  unsigned urgency;            /* 0 is the most urgent */
  struct timespec late_from;   /* monotonic; from then on it is late: likely to
                                  miss its response time objective */
  struct timespec give_up_at;  /* monotonic */
  struct request_class *class; /* NULL unless it is queued */
} queued_request_t;

/* The result of trying a queued request again.  */
typedef enum queue_result
{
  QUEUE_SENT,  /* it was sent and has left the queue */
  QUEUE_ENDED, /* it has left the queue without being sent */
  QUEUE_FULL,  /* it stays queued: there is no capacity for it, nor for others
                  of its class that are as late */
  QUEUE_WAITS  /* it stays queued for a reason of its own */
} queue_result_t;

/* How a queued request is tried.  */
typedef struct queue_turn
{
  bool is_late;
  /* It is the turn of the request's class, so it may use capacity that is
     reserved for more urgent ones.  */
  bool is_guaranteed;
} queue_turn_t;

/* Try to send REQUEST, which may be freed unless it stays queued.  Must remove
   no other request from the queue.  */
typedef queue_result_t (*queue_try_t) (queued_request_t *request,
                                       const queue_turn_t *turn, void *data);

request_queue_t *request_queue_create (TALLOC_CTX *parent);
void request_queue_destroy (request_queue_t *queue);
bool request_queue_add (request_queue_t *queue, queued_request_t *request,
                        struct timespec now);
void request_queue_remove (queued_request_t *request);
/* Returns a queued request that has to be given up, or NULL.  */
queued_request_t *request_queue_find_expired (const request_queue_t *queue,
                                              struct timespec now);
bool request_queue_is_empty (const request_queue_t *queue);
/* Returns whether a request for SERVICE that is more urgent than URGENCY is
   queued.  */
bool request_queue_has_more_urgent (const request_queue_t *queue,
                                    const char *service, unsigned urgency);
/* Count a request that was sent without being queued.  */
void request_queue_count_sent (request_queue_t *queue, const char *service,
                               unsigned urgency, struct timespec now);
/* Returns the time that a request for SERVICE of URGENCY is expected to wait
   for its turn, or zero if that is not known: its class has not been waiting
   for long, or not at all.  */
struct timespec request_queue_expected_wait (const request_queue_t *queue,
                                             const char *service,
                                             unsigned urgency,
                                             struct timespec now);
/* Returns how many queued requests for SERVICE of OTHER_URGENCY come before a
   new one of URGENCY, which may be late already; those whose class has been
   passed over too often aside.  */
unsigned request_queue_count_before (const request_queue_t *queue,
                                     const char *service,
                                     unsigned other_urgency, unsigned urgency,
                                     bool is_late, struct timespec now);
void request_queue_retry (request_queue_t *queue, struct timespec now,
                          queue_try_t try, void *data);

#endif
