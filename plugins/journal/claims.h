#ifndef SISKIN_PLUGINS_JOURNAL_CLAIMS_H
#define SISKIN_PLUGINS_JOURNAL_CLAIMS_H

#include "kernel/table.h"
#include "plugins/journal.h"
#include "plugins/journal/claim_value.h"

#include <stdbool.h>

/* The claims that this process is requesting, holds or still has to write, by
   key.  This module makes the decisions and builds the transactions; threads
   and store calls are left to the caller.  All functions except claims_create
   and claims_destroy must be called with the table locked.  */
typedef struct claims claims_t;
typedef struct claim_entry claim_entry_t;

/* The next write or read that an entry needs.  */
typedef enum claim_step
{
  CLAIM_STEP_CLAIM,  /* claim the key in the store */
  CLAIM_STEP_HOLD,   /* none: the claim is granted and the request runs */
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
  bool is_in_flight;
  bool may_have_claimed;        /* a claim was sent but no response received */
  bool may_have_claimed_before; /* same, before the call in flight */
  uint64_t fingerprint; /* of the request that VALUE claims the key for */
  char *writer;         /* unique for each attempt to claim */
  int64_t claimed_at_ms;
  char *value;    /* to be stored while the request runs */
  char *released; /* to be stored when the key is released */
  char *outcome;  /* to be stored after the request has ended; or NULL */
  char *expected; /* released value that VALUE replaces; NULL for no value */
  struct timespec queued_at;
  struct timespec due; /* earliest time of the step */
  int64_t delay_ms;    /* until the next read */
};

/* A caller's request for a key.  */
struct journal_claim
{
  LIST_ENTRY (journal_claim) all_link;
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
  bool is_delivered;    /* the verdict was passed to the caller */
  bool is_abandoned;    /* the caller no longer wants the verdict */
};

STAILQ_HEAD (journal_claim_list, journal_claim);
typedef struct journal_claim_list journal_claim_list_t;

typedef struct claims_options
{
  const char *owner;
  uint64_t incarnation;
  journal_limits_t limits;
  unsigned max_batch_steps;       /* in one store call */
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
  uint64_t sequence;                /* makes writers unique */
  TAILQ_HEAD (, claim_entry) queue; /* entries with a step to be sent */
  LIST_HEAD (, journal_claim) all;
  journal_claim_list_t decided; /* verdicts to be delivered */
  size_t outcome_bytes;         /* of the outcomes not yet written */
  unsigned batches_in_flight;
  unsigned batch_limit;     /* maximum number of steps in the next call */
  unsigned failures;        /* consecutive failed calls */
  struct timespec retry_at; /* no call before this time */
  struct timespec last_arrival;
  int64_t mean_arrival_gap_us; /* exponential moving average */
  int64_t lease;               /* for new writes; 0 for none */
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
void claims_expire_waiters (claims_t *claims, struct timespec now);
void claims_collect_decided (claims_t *claims, journal_claim_list_t *decided);
size_t claims_pending (const claims_t *claims);

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

/* Internal to claims.c and claims_batch.c.  */
void claims_requeue (claims_t *claims, claim_entry_t *entry);
void claims_cleanup_entry (claims_t *claims, claim_entry_t *entry,
                           struct timespec now);
void claims_handle_granted (claims_t *claims, claim_entry_t *entry,
                            struct timespec now);
void claims_handle_absent (claims_t *claims, claim_entry_t *entry,
                           struct timespec now);
void claims_handle_value (claims_t *claims, claim_entry_t *entry,
                          const char *text, struct timespec now);
void claims_handle_recorded (claims_t *claims, claim_entry_t *entry);
void claims_handle_released (claims_t *claims, claim_entry_t *entry,
                             struct timespec now);

#endif
