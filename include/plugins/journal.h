#ifndef SISKIN_PLUGINS_JOURNAL_H
#define SISKIN_PLUGINS_JOURNAL_H

#include "kernel/pool.h"
#include "plugins/store.h"

#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Claims on idempotency keys.  A request that must not run twice runs only
   after its key has been claimed in the key-value store, and its outcome is
   recorded under the same key.  One journal serves all workers of a process.

   A caller describes what it wants to claim in a claim_request_t and gets a
   journal_claim_t: a handle that is valid until a verdict other than
   CLAIM_GRANTED, or until the caller passes it to finish or abandon.  */
typedef struct journal journal_t;

typedef enum claim_verdict
{
  CLAIM_GRANTED,    /* the caller holds the claim and may run the request */
  CLAIM_FINISHED,   /* the request has run; the record has its outcome */
  CLAIM_UNKNOWN,    /* the request may have run: its key was claimed before,
                       and no outcome was recorded by the deadline */
  CLAIM_KEY_REUSED, /* the key was used for a different request */
  CLAIM_UNAVAILABLE /* the key could not be claimed by the deadline; the
                       caller must not run the request */
} claim_verdict_t;

/* The recorded outcome of a request.  */
typedef struct claim_record
{
  unsigned http_status;
  const char *content_type;
  const char *body; /* NULL when the response was too large to store */
  size_t body_size;
} claim_record_t;

typedef struct claim_request
{
  worker_t *worker; /* the caller's worker; the callback runs on it */
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

/* Configurable limits.  */
typedef struct journal_limits
{
  struct timespec retention; /* lifetime of a claim and its outcome */
  struct timespec linger;    /* maximum wait of a claim for a fuller batch */
} journal_limits_t;

typedef struct journal_options
{
  worker_t *worker; /* owns STORE */
  const store_ops_t *store_ops;
  store_t *store;
  /* Name and incarnation of this process; they make the ids of its attempts to
     claim a key unique.  */
  const char *owner;
  uint64_t incarnation;
  journal_limits_t limits;
  /* Called on WORKER when no write is pending any longer.  May be NULL.  */
  void (*on_idle) (void *data);
  void *data;
} journal_options_t;

typedef struct journal_ops
{
  /* Called on the worker that owns the store, or before the workers run.  */
  journal_t *(*create) (const journal_options_t *options);
  /* Called only while no worker is running.  */
  void (*destroy) (journal_t *journal);
  /* The following functions may be called on any worker; those that take a
     claim only on the worker that requested it.  */
  void (*configure) (journal_t *journal, const journal_limits_t *limits);
  /* Request a claim; DONE runs once from the event loop of the caller's
     worker.  Returns NULL when memory is exhausted.  */
  journal_claim_t *(*claim) (journal_t *journal,
                             const claim_request_t *request,
                             journal_claim_done_t done, void *data);
  /* Record the end of the request that holds the granted CLAIM, and free
     CLAIM.  RECORD is NULL when the request did not run; the key is then
     released for other callers.  */
  void (*finish) (journal_claim_t *claim, const claim_record_t *record);
  /* Give up a claim.  If it was not granted yet, its key is released, unless
     other callers wait for it.  If it was granted, the key is recorded as
     "lost" (outcome unknown), because the request may have run; later claims
     on it for the same request get CLAIM_UNKNOWN.  */
  void (*abandon) (journal_claim_t *claim);
  /* Return the number of keys with a pending write.  A graceful stop waits
     until it is zero.  */
  size_t (*pending) (journal_t *journal);
} journal_ops_t;

#endif
