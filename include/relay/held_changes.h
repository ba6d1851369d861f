#ifndef SISKIN_RELAY_HELD_CHANGES_H
#define SISKIN_RELAY_HELD_CHANGES_H

#include "kernel/pool.h"
#include "plugins/store.h"

/* Changes of the store that are not applied yet because they may be undone
   soon: after an outage or a restore, keys can be missing that their writers
   write again.  At most one change is held of each key.  Belongs to one
   worker.  */
typedef struct held_changes held_changes_t;

/* Apply ENTRY, which was not undone in the time that it was held.  */
typedef void (*held_change_apply_t) (const store_entry_t *entry, void *data);

held_changes_t *held_changes_create (TALLOC_CTX *parent, worker_t *worker,
                                     held_change_apply_t apply, void *data);
void held_changes_add (held_changes_t *held, const store_entry_t *entry,
                       struct timespec duration);
void held_changes_drop (held_changes_t *held, const char *key);

#endif
