#ifndef SISKIN_RELAY_WORK_MODEL_H
#define SISKIN_RELAY_WORK_MODEL_H

#include "common/rules.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* Learns how long the responses of each route and account are, and from that
   estimates the work of a request: the time that its engine spends on it
   alone.  It addresses the load condition in which requests that look alike
   differ widely in cost.  Output is counted in events of a stream, because
   tokens are not visible to a relay.  Not thread-safe.  */
typedef struct work_model work_model_t;

/* What is known of a request beforehand; 0 for what is unknown.  */
typedef struct work_request
{
  uint64_t origin; /* hash of route and account, see work_origin */
  uint64_t prompt_tokens;
  uint64_t hinted_tokens; /* the client's estimate of its output */
  uint64_t max_tokens;    /* of its output */
  uint64_t past_events;   /* events that the client already has */
  int64_t timeout_ms;     /* no request takes more work than that */
} work_request_t;

typedef struct work_estimate
{
  uint64_t origin;
  double hinted_events; /* uncorrected; 0: the client gave no estimate */
  double events;        /* expected from now on */
  /* Events that are still expected of a response that has had EVENTS.  */
  double overrun_events;
  uint64_t read_us;  /* reading the prompt, until the first event */
  uint64_t event_us; /* writing one event */
  uint64_t max_us;
  bool is_partial; /* the client already has some events */
} work_estimate_t;

/* A response that has ended as the upstream meant it to.  */
typedef struct work_response
{
  uint64_t events; /* 0 if it was not a stream */
  int64_t elapsed_ms;
} work_response_t;

/* Returns the time that the engine takes to read a prompt of TOKENS.  */
double engine_read_ms (const engine_profile_t *engine, double tokens);
uint64_t work_origin (const char *route, const char *account);
work_model_t *work_model_create (TALLOC_CTX *parent);
void work_model_destroy (work_model_t *model);
/* ENGINE is NULL for a plain service, whose requests take the mean response
   time.  */
work_estimate_t work_model_estimate (const work_model_t *model,
                                     const engine_profile_t *engine,
                                     const work_request_t *request);
/* Records that a request of ORIGIN, whose work was estimated, is sent.  */
void work_model_use (work_model_t *model, uint64_t origin,
                     struct timespec now);
void work_model_record (work_model_t *model, const work_estimate_t *estimate,
                        const work_response_t *response, struct timespec now);
/* Returns the work that is left after EVENTS have been received.  */
uint64_t work_left_us (const work_estimate_t *estimate, uint64_t events);

#endif
