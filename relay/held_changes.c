#include "relay/held_changes.h"

#include <string.h>

typedef struct held_change
{
  LIST_ENTRY (held_change) link;
  held_changes_t *held;
  store_entry_t entry; /* its strings are copies */
  worker_timer_t *timer;
} held_change_t;

struct held_changes
{
  worker_t *worker;
  held_change_apply_t apply;
  void *data;
  LIST_HEAD (, held_change) list;
};

/* Create an empty set.  APPLY is called with DATA for each change whose time
   has passed.  Returns NULL when memory is exhausted.  */
held_changes_t *
held_changes_create (TALLOC_CTX *parent, worker_t *worker,
                     held_change_apply_t apply, void *data)
{
  held_changes_t *held = talloc_zero (parent, held_changes_t);

  if (held == NULL)
    return NULL;
  held->worker = worker;
  held->apply = apply;
  held->data = data;
  LIST_INIT (&held->list);
  return held;
}

static void
held_change_handle_timer (worker_t *worker, void *data)
{
  held_change_t *change = data;
  const held_changes_t *held = change->held;

  (void)worker;
  LIST_REMOVE (change, link);
  held->apply (&change->entry, held->data);
  talloc_free (change);
}

/* Hold ENTRY for DURATION, in place of an earlier change of its key.  When
   memory is exhausted, it is applied at once.  */
void
held_changes_add (held_changes_t *held, const store_entry_t *entry,
                  struct timespec duration)
{
  held_change_t *change = talloc_zero (held, held_change_t);

  held_changes_drop (held, entry->key);
  if (change == NULL)
    {
      held->apply (entry, held->data);
      return;
    }
  change->held = held;
  change->entry = *entry;
  change->entry.key = talloc_strdup (change, entry->key);
  if (entry->value != NULL)
    change->entry.value
        = talloc_memdup (change, entry->value, entry->value_size + 1);
  change->timer = worker_timer_start (held->worker, change, duration,
                                      held_change_handle_timer, change);
  LIST_INSERT_HEAD (&held->list, change, link);
}

/* Forget the change of KEY that is held, if there is one: a later one has
   undone or replaced it.  */
void
held_changes_drop (held_changes_t *held, const char *key)
{
  held_change_t *change;

  LIST_FOREACH (change, &held->list, link)
    {
      if (strcmp (change->entry.key, key) != 0)
        continue;
      LIST_REMOVE (change, link);
      talloc_free (change);
      return;
    }
}
