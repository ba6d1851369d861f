#ifndef SISKIN_PLUGINS_JOURNAL_CLAIMS_H
#define SISKIN_PLUGINS_JOURNAL_CLAIMS_H

#include "kernel/table.h"
#include "plugins/journal.h"
#include "plugins/journal/claim_value.h"

#include <stdbool.h>

/* The keys that this process is claiming, has claimed or has to write to, each
   with one entry.  This module makes the decisions and builds the
   transactions; threads and store calls are left to the caller.  All functions
   except claims_create and claims_destroy must be called with the table
   locked.

   Each call of claims_submit creates a journal_claim_t from the caller's
   claim_request_t.  All claims on the same key in this process share one
   claim_entry_t, which holds the key's state in the store; one of them can be
   granted at a time.  */
typedef struct claims claims_t;
typedef struct claim_entry claim_entry_t;

/* The next write or read that an entry needs.  */
typedef enum claim_step
{
  CLAIM_STEP_CLAIM,  /* claim the key in the store */
  CLAIM_STEP_HOLD,   /* nothing to send: the claim is granted */
  CLAIM_STEP_READ,   /* check whether the other owner recorded an outcome */
  CLAIM_STEP_RECORD, /* write the outcome */
  CLAIM_STEP_RELEASE /* mark the key as free again */
} claim_step_t;

/* One key, shared by all callers in this process that request it.  */
struct claim_entry
{
  table_node_t node;
  TAILQ_ENTRY (claim_entry) queue_link; /* while is_queued */
  TAILQ_HEAD (, journal_claim) waiters; /* undecided claims */
  journal_claim_t *owner;               /* the granted claim, or NULL */
  char *path;                           /* the store's key */
  claim_step_t step;
  bool is_queued;
  bool is_in_flight; /* the step was sent and has no response yet */
  /* A claim was sent and its result is not known, so the store may contain the
     member VALUE under this key.  */
  bool may_have_claimed;
  /* Value of may_have_claimed before the call in flight; restored if that call
     turns out to have had no effect.  */
  bool may_have_claimed_before;
  uint64_t fingerprint;   /* of the request that VALUE claims the key for */
  char *claim_attempt_id; /* identifies VALUE as written by this entry */
  int64_t claimed_at_ms;
  /* Texts of claim_value_t to be stored for the key: */
  char *value;    /* to claim it */
  char *released; /* to release it */
  char *outcome;  /* when the request has ended; NULL before */
  /* Condition under which the store accepts the claim: the key has this value,
     which marks it as released; if NULL, the key must be absent.  */
  char *expected;
  struct timespec queued_at;
  struct timespec due; /* the step is not sent before this time */
  int64_t delay_ms;    /* delay of the next CLAIM_STEP_READ */
};

/* A caller's request for a key.  */
struct journal_claim
{
  LIST_ENTRY (journal_claim) all_link; /* in the list of all claims */
  TAILQ_ENTRY (journal_claim) wait_link;
  STAILQ_ENTRY (journal_claim) decided_link;
  task_t task;
  claims_t *claims;
  claim_entry_t *entry; /* while waiting or granted */
  worker_t *worker;
  journal_claim_done_t done;
  void *data;
  uint64_t fingerprint;
  struct timespec deadline;
  claim_verdict_t verdict;
  claim_value_t *value; /* the outcome, for CLAIM_FINISHED */
  bool is_decided;      /* VERDICT is set */
  bool is_delivered;    /* the caller has received the verdict */
  bool is_abandoned;    /* the caller has given up the claim */
};

STAILQ_HEAD (journal_claim_list, journal_claim);
typedef struct journal_claim_list journal_claim_list_t;

typedef struct claims_options
{
  const char *owner;
  uint64_t incarnation;
  journal_limits_t limits;
  unsigned max_batch_steps;       /* fixed maximum for one store call */
  unsigned max_batches_in_flight; /* concurrent store calls */
} claims_options_t;

/* Steps that are sent to the store in one call.  */
typedef struct claim_batch
{
  store_txn_t *txn;
  unsigned count;
  claim_entry_t **entries;
} claim_batch_t;

struct claims
{
  table_t *entries;
  void *context; /* the caller's own data */
  claims_options_t options;
  uint64_t sequence;                /* makes claim attempt ids unique */
  TAILQ_HEAD (, claim_entry) queue; /* entries with a step to be sent */
  LIST_HEAD (, journal_claim) all;  /* until freed */
  journal_claim_list_t decided;     /* verdicts to be delivered */
  size_t outcome_bytes;             /* size of the outcomes not yet written */
  unsigned batches_in_flight;
  /* Maximum number of steps in the next call: normally max_batch_steps, halved
     after the store has rejected a call and doubled after a success.  */
  unsigned batch_limit;
  unsigned failures;            /* consecutive failed calls */
  struct timespec retry_at;     /* no call before this time */
  struct timespec last_arrival; /* time of the last claims_submit */
  int64_t mean_arrival_gap_us;  /* exponential moving average */
  /* Lease attached to new writes: the store deletes the keys when it expires.
     0 if there is none; no call is sent then until one has been granted.  */
  int64_t lease;
  struct timespec lease_granted_at;
  bool is_lease_requested;
  struct timespec lease_requested_at;
};

claims_t *claims_create (TALLOC_CTX *parent, const claims_options_t *options);
void claims_destroy (claims_t *claims);
journal_claim_t *claims_submit (claims_t *claims,
                                const claim_request_t *request,
                                journal_claim_done_t done, void *data,
                                struct timespec now, struct timespec realtime);
void claims_finish (journal_claim_t *claim, const claim_record_t *record,
                    struct timespec now);
void claims_abandon (journal_claim_t *claim, struct timespec now);
void claims_free_claim (journal_claim_t *claim);
/* Decide the undecided claims whose deadline has passed.  The retention of
   stored claims is enforced by their leases.  */
void claims_expire_waiters (claims_t *claims, struct timespec now);
void claims_collect_decided (claims_t *claims, journal_claim_list_t *decided);
size_t claims_pending (const claims_t *claims);

/* Calls to the store: the caller requests a lease when
   claims_start_lease_request returns true, and executes the batches of
   claims_next_batch; the results go to the claims_handle_ functions.
   claims_next_wake tells when to check again.  */
bool claims_start_lease_request (claims_t *claims, struct timespec now,
                                 struct timespec *duration);
void claims_handle_lease (claims_t *claims, int64_t lease,
                          struct timespec now);
claim_batch_t *claims_next_batch (claims_t *claims, struct timespec now);
void claims_handle_batch_result (claims_t *claims, claim_batch_t *batch,
                                 status_t status, const store_result_t *result,
                                 struct timespec now);
bool claims_next_wake (const claims_t *claims, struct timespec now,
                       struct timespec *wake);

/* Internal to claims.c and claims_batch.c.  The claims_handle_ functions
   process the result that a step of ENTRY had in the store.  */
void claims_requeue (claims_t *claims, claim_entry_t *entry);
/* Drop ENTRY if it has no waiters and no pending write.  A claim that may have
   taken effect is released first.  */
void claims_cleanup_entry (claims_t *claims, claim_entry_t *entry,
                           struct timespec now);
void claims_handle_granted (claims_t *claims, claim_entry_t *entry,
                            struct timespec now);
/* The store has no such key: claim it again.  */
void claims_handle_absent (claims_t *claims, claim_entry_t *entry,
                           struct timespec now);
void claims_handle_value (claims_t *claims, claim_entry_t *entry,
                          const char *text, struct timespec now);
void claims_handle_recorded (claims_t *claims, claim_entry_t *entry);
void claims_handle_released (claims_t *claims, claim_entry_t *entry,
                             struct timespec now);

#endif
