#ifndef SISKIN_CTL_EXCHANGE_H
#define SISKIN_CTL_EXCHANGE_H

#include "ctl/command.h"

typedef struct exchange_entry
{
  STAILQ_ENTRY (exchange_entry) link;
  unsigned response; /* index of the read that found it */
  const char *value;
  int64_t mod_revision;
} txn_outcome_entry_t;

/* One transaction with the store, waited for.  */
typedef struct exchange
{
  TALLOC_CTX *memory;
  bool is_done;
  status_t status;
  bool may_have_run; /* with a status other than STATUS_OK */
  bool succeeded;
  unsigned attempts;
  STAILQ_HEAD (, exchange_entry) entries;
} txn_outcome_t;

status_t txn_run (ctl_t *ctl, const store_txn_t *txn, txn_outcome_t *exchange);
const txn_outcome_entry_t *txn_outcome_find (const txn_outcome_t *exchange,
                                             unsigned response);
void ctl_sleep (ctl_t *ctl, struct timespec delay);

#endif
