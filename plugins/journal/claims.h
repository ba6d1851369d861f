#ifndef SISKIN_PLUGINS_JOURNAL_CLAIMS_H
#define SISKIN_PLUGINS_JOURNAL_CLAIMS_H

#include "kernel/table.h"
#include "plugins/journal.h"
#include "plugins/journal/claim_value.h"

#include <stdbool.h>

/* The claims that this process asks for, holds or has to write, by key: what
   is decided about them, apart from threads and store calls.  Every function
   but create and destroy expects the table to be locked.  */
typedef struct claims claims_t;
typedef struct claim_entry claim_entry_t;

/* The next write or read that an entry needs.  */
typedef enum claim_step
{
  CLAIM_STEP_CLAIM,  /* ask the store for the key */
  CLAIM_STEP_HOLD,   /* nothing: granted, and the request runs */
  CLAIM_STEP_READ,   /* see whether another owner has recorded an outcome */
  CLAIM_STEP_RECORD, /* write the outcome */
  CLAIM_STEP_RELEASE /* give the key back */
} claim_step_t;

/* One key.  */
struct claim_entry
{
  table_node_t node;
  TAILQ_ENTRY (claim_entry) queue_link; /* while a step is due or in flight */
  TAILQ_HEAD (, journal_claim) waiters;
  journal_claim_t *owner; /* the granted claim */
  char *path;
  claim_step_t step;
  bool is_queued;
  bool is_in_flight;
  bool is_unresolved;   /* a claim was sent whose answer has not come */
  bool was_unresolved;  /* before the call in flight */
  uint64_t fingerprint; /* of the request that VALUE claims for */
  char *writer;
  int64_t claimed_at_ms;
  char *value;    /* ours, while the request runs */
  char *released; /* ours, once given back */
  char *outcome;  /* ours, once the request ended */
  char *expected; /* another's released value to be replaced, or NULL */
  struct timespec queued_at;
  struct timespec due;
  int64_t delay_ms; /* until the next read */
};

/* One caller that asked for a key.  */
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
  bool is_decided;
  bool is_delivered;
  bool is_abandoned;
};

STAILQ_HEAD (journal_claim_list, journal_claim);
typedef struct journal_claim_list journal_claim_list_t;

typedef struct claims_options
{
  const char *owner;
  uint64_t incarnation;
  journal_limits_t limits;
  unsigned max_batch_steps;       /* most steps in one store call */
  unsigned max_batches_in_flight; /* most store calls in flight */
} claims_options_t;

/* Steps that go to the store in one call.  */
typedef struct claim_batch
{
  store_txn_t *txn;
  unsigned count;
  claim_entry_t **entries;
} claim_batch_t;

struct claims
{
  table_t *entries;
  void *owner; /* of whoever carries the steps out */
  claims_options_t options;
  uint64_t sequence;
  TAILQ_HEAD (, claim_entry) queue;
  LIST_HEAD (, journal_claim) all;
  journal_claim_list_t decided;
  size_t outcome_bytes; /* of the outcomes that wait to be written */
  unsigned batches_in_flight;
  unsigned batch_limit; /* steps in the next call */
  unsigned failures;    /* calls in a row without an answer */
  struct timespec retry_at;
  struct timespec last_arrival;
  int64_t arrival_gap_us; /* moving average */
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
void claims_expire (claims_t *claims, struct timespec now);
void claims_collect_decided (claims_t *claims, journal_claim_list_t *decided);
size_t claims_pending (const claims_t *claims);

bool claims_start_lease_request (claims_t *claims, struct timespec now,
                                 struct timespec *duration);
void claims_note_lease (claims_t *claims, int64_t lease, struct timespec now);
claim_batch_t *claims_next_batch (claims_t *claims, struct timespec now);
void claims_note_batch (claims_t *claims, claim_batch_t *batch,
                        status_t status, const store_result_t *result,
                        struct timespec now);
bool claims_next_wake (const claims_t *claims, struct timespec now,
                       struct timespec *wake);

/* Shared by the files of this module.  */
void claims_requeue (claims_t *claims, claim_entry_t *entry);
void claims_cleanup_entry (claims_t *claims, claim_entry_t *entry,
                           struct timespec now);
void claims_note_granted (claims_t *claims, claim_entry_t *entry,
                          struct timespec now);
void claims_note_absent (claims_t *claims, claim_entry_t *entry,
                         struct timespec now);
void claims_note_value (claims_t *claims, claim_entry_t *entry,
                        const char *text, struct timespec now);
void claims_note_recorded (claims_t *claims, claim_entry_t *entry);
void claims_note_released (claims_t *claims, claim_entry_t *entry,
                           struct timespec now);

#endif
