#ifndef SISKIN_CTL_EXCHANGE_H
#define SISKIN_CTL_EXCHANGE_H

#include "ctl/command.h"

typedef struct exchange_entry
{
  STAILQ_ENTRY (exchange_entry) link;
  unsigned response; /* index of the read that found it */
  const char *value;
  int64_t mod_revision;
} exchange_entry_t;

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
} exchange_t;

status_t exchange_run (ctl_t *ctl, const store_txn_t *txn,
                       exchange_t *exchange);
const exchange_entry_t *exchange_find (const exchange_t *exchange,
                                       unsigned response);
void exchange_wait (ctl_t *ctl, struct timespec delay);

#endif
