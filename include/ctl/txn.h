#ifndef SISKIN_CTL_TXN_H
#define SISKIN_CTL_TXN_H

#include "ctl/command.h"

/* A key-value pair that a read of the transaction returned.  */
typedef struct txn_outcome_entry
{
  STAILQ_ENTRY (txn_outcome_entry) link;
  unsigned response; /* index of the read among the operations executed */
  const char *value;
  int64_t mod_revision;
} txn_outcome_entry_t;

/* Outcome of a store transaction that was run synchronously.  */
typedef struct txn_outcome
{
  TALLOC_CTX *memory;
  bool is_done;
  status_t status;
  bool may_have_run; /* a failed attempt may have taken effect */
  bool succeeded;    /* all compares held: the success branch was executed */
  unsigned attempts;
  STAILQ_HEAD (, txn_outcome_entry) entries;
} txn_outcome_t;

status_t txn_run (ctl_t *ctl, const store_txn_t *txn, txn_outcome_t *outcome);
const txn_outcome_entry_t *txn_outcome_find (const txn_outcome_t *outcome,
                                             unsigned response);
/* Run the event loop for DELAY.  */
void ctl_sleep (ctl_t *ctl, struct timespec delay);

#endif
