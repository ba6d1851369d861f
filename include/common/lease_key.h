#ifndef SISKIN_COMMON_LEASE_KEY_H
#define SISKIN_COMMON_LEASE_KEY_H

#include "kernel/pool.h"
#include "plugins/store.h"

#include <stdbool.h>
#include <time.h>

/* A key in the store that is attached to a lease, which is renewed as long as
   this process runs.  When the process fails, the lease expires and the store
   deletes the key.  Belongs to one worker.  */
typedef struct lease_key lease_key_t;

typedef struct lease_key_options
{
  const store_ops_t *store_ops;
  store_t *store;
  const char *key;
  const char *value;
  struct timespec duration; /* of the lease */
} lease_key_options_t;

lease_key_t *lease_key_create (TALLOC_CTX *parent, worker_t *worker,
                               const lease_key_options_t *options);
void lease_key_set_value (lease_key_t *key, const char *value);
/* Stop renewing the key and revoke its lease, which deletes the key from the
   store.  KEY itself is not freed: it belongs to the parent given to
   lease_key_create.  */
void lease_key_withdraw (lease_key_t *key);

#endif
