#ifndef SISKIN_PLUGINS_JOURNAL_H
#define SISKIN_PLUGINS_JOURNAL_H

#include "kernel/pool.h"
#include "plugins/store.h"

#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Claims of idempotency keys: a request that may not be repeated runs only
   after its key was claimed, and its outcome is recorded under the key.  One
   journal serves all workers of a process.  */
typedef struct journal journal_t;

typedef enum claim_verdict
{
  CLAIM_GRANTED,    /* the caller holds the claim and may run the request */
  CLAIM_FINISHED,   /* it ran before; the record has its outcome */
  CLAIM_UNKNOWN,    /* claimed before, no outcome by the deadline */
  CLAIM_KEY_REUSED, /* the key belongs to a different request */
  CLAIM_UNAVAILABLE /* nothing claimed by the deadline; the request does not
                       run under this call */
} claim_verdict_t;

/* The recorded outcome of a request.  */
typedef struct claim_record
{
  unsigned http_status;
  const char *content_type;
  const char *body; /* NULL when the answer was too large to keep */
  size_t body_size;
} claim_record_t;

typedef struct claim_request
{
  worker_t *worker; /* the caller's, on which the verdict is given */
  const char *key;  /* unique within ACCOUNT and SERVICE */
  const char *account;
  const char *service;
  uint64_t fingerprint;     /* hash of method, path and body */
  struct timespec deadline; /* monotonic */
} claim_request_t;

/* RECORD is NULL unless VERDICT is CLAIM_FINISHED, and valid during the
   call.  Unless VERDICT is CLAIM_GRANTED the claim is freed afterwards.  */
typedef void (*journal_claim_done_t) (claim_verdict_t verdict,
                                      const claim_record_t *record,
                                      void *data);
typedef struct journal_claim journal_claim_t;

/* What the operators choose.  */
typedef struct journal_limits
{
  struct timespec retention; /* of a claim and its outcome */
  struct timespec linger;    /* how long a claim waits for others */
} journal_limits_t;

typedef struct journal_options
{
  worker_t *worker; /* owns STORE */
  const store_ops_t *store_ops;
  store_t *store;
  const char *owner; /* name of this process */
  uint64_t incarnation;
  journal_limits_t limits;
  /* Nothing is left to be written; on WORKER.  May be NULL.  */
  void (*on_idle) (void *data);
  void *data;
} journal_options_t;

typedef struct journal_ops
{
  /* On the worker that owns the store, or before the workers run.  */
  journal_t *(*create) (const journal_options_t *options);
  /* The workers are at rest.  */
  void (*destroy) (journal_t *journal);
  /* The rest may be called from every worker; a claim only from the worker
     that asked for it.  */
  void (*configure) (journal_t *journal, const journal_limits_t *limits);
  /* Ask for a claim; DONE runs from the loop of the caller's worker, once.  */
  journal_claim_t *(*claim) (journal_t *journal,
                             const claim_request_t *request,
                             journal_claim_done_t done, void *data);
  /* The request of a granted claim ended.  RECORD is NULL when it did not run
     after all, which gives the key back.  CLAIM is freed.  */
  void (*finish) (journal_claim_t *claim, const claim_record_t *record);
  /* Forget a claim: one that is still being asked for is given back; a
     granted one stays without outcome, since the request may have run.  */
  void (*abandon) (journal_claim_t *claim);
  /* Keys with a write under way or waiting; a graceful stop waits for
     zero.  */
  size_t (*pending) (journal_t *journal);
} journal_ops_t;

#endif
