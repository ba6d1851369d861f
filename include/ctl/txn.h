#ifndef SISKIN_CTL_TXN_H
#define SISKIN_CTL_TXN_H

#include "ctl/command.h"

/* A key-value pair that a read of the transaction returned.  */
typedef struct txn_outcome_entry
{
  STAILQ_ENTRY (txn_outcome_entry) link;
  /* Index of the read among the operations of the branch that was executed, in
     the order in which they were added, counted from 0.  */
  unsigned response;
  const char *value;
  int64_t mod_revision;
} txn_outcome_entry_t;

/* Outcome of a store transaction that was run synchronously.  */
typedef struct txn_outcome
{
  TALLOC_CTX *memory;
  bool is_done;
  status_t status;
  /* An attempt failed but may have taken effect, for example because its
     response was lost.  A later attempt may have got a response, with
     SUCCEEDED either set or not.  */
  bool may_have_run;
  /* Only if STATUS is STATUS_OK: in the last attempt all compares held, so the
     success branch was executed.  If not, that may be the effect of an earlier
     attempt; see MAY_HAVE_RUN.  */
  bool succeeded;
  unsigned attempts;
  STAILQ_HEAD (, txn_outcome_entry) entries;
} txn_outcome_t;

status_t txn_run (ctl_t *ctl, const store_txn_t *txn, txn_outcome_t *outcome);
const txn_outcome_entry_t *txn_outcome_find (const txn_outcome_t *outcome,
                                             unsigned response);
/* Run the event loop for DELAY.  */
void ctl_sleep (ctl_t *ctl, struct timespec delay);

#endif
