#ifndef SISKIN_COMMON_OUTCOME_H
#define SISKIN_COMMON_OUTCOME_H

#include <stdint.h>

/* Identifies a request in all processes: the incarnation of the entry that
   received it, and a number that is unique within that incarnation.  */
typedef struct request_id
{
  uint64_t incarnation;
  uint64_t sequence;
} request_id_t;

/* Whether a request was executed by an upstream, as far as is known.  */
typedef enum outcome
{
  OUTCOME_NOT_RUN,
  OUTCOME_RAN,
  OUTCOME_UNKNOWN,
  OUTCOME_COUNT
} outcome_t;

/* Why a request was refused or ended early.  */
typedef enum refusal
{
  REFUSAL_NONE,
  REFUSAL_OVERLOAD,    /* the upstream's queue is full */
  REFUSAL_COLD,        /* the upstream is in cold start */
  REFUSAL_LEAVING,     /* the upstream or its agent is shutting down */
  REFUSAL_ZONE_OUT,    /* the availability zone is excluded from new work */
  REFUSAL_DEADLINE,    /* the request cannot finish before its deadline */
  REFUSAL_ISOLATED,    /* the agent's settings may be out of date */
  REFUSAL_STORE,       /* the claim that keeps the request from running twice
                          (see claim_settings_t) could not be written to the
                          store */
  REFUSAL_KEY_EXPIRED, /* the idempotency key is too old to be checked */
  REFUSAL_KEY_REUSED,  /* the key belongs to a different request */
  REFUSAL_UPSTREAM,    /* the upstream failed or is unreachable */
  REFUSAL_CANCELLED,   /* by the client or the entry */
  REFUSAL_INVALID,     /* the request is malformed */
  REFUSAL_COUNT
} refusal_t;

const char *outcome_name (outcome_t outcome);
const char *refusal_name (refusal_t refusal);

#endif
