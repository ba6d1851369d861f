#ifndef SISKIN_COMMON_OUTCOME_H
#define SISKIN_COMMON_OUTCOME_H

#include <stdint.h>

/* Names a request across processes: the entry's incarnation and its own
   count.  */
typedef struct request_id
{
  uint64_t incarnation;
  uint64_t sequence;
} request_id_t;

/* What is known of whether a request ran on an upstream.  */
typedef enum outcome
{
  OUTCOME_NOT_RUN,
  OUTCOME_RAN,
  OUTCOME_UNKNOWN,
  OUTCOME_COUNT
} outcome_t;

/* Why work was refused or ended early.  */
typedef enum refusal
{
  REFUSAL_NONE,
  REFUSAL_OVERLOAD,    /* the queue is full */
  REFUSAL_COLD,        /* the upstream is in cold start */
  REFUSAL_LEAVING,     /* the upstream or its agent is leaving */
  REFUSAL_ZONE_OUT,    /* the availability zone gets no new work */
  REFUSAL_DEADLINE,    /* it cannot finish in time */
  REFUSAL_ISOLATED,    /* the agent's settings may be out of date */
  REFUSAL_STORE,       /* no claim could be made */
  REFUSAL_KEY_EXPIRED, /* the idempotency key is too old to be checked */
  REFUSAL_KEY_REUSED,  /* the key belongs to a different request */
  REFUSAL_UPSTREAM,    /* the upstream failed or cannot be reached */
  REFUSAL_CANCELLED,
  REFUSAL_INVALID,
  REFUSAL_COUNT
} refusal_t;

const char *outcome_name (outcome_t outcome);
const char *refusal_name (refusal_t refusal);

#endif
