#include "common/suspect_table.h"

#include "kernel/counter.h"

enum
{
  MAX_LISTED = 128 /* records that a process gets when it connects */
};

GAUGE_DEFINE (suspected_gauge, "siskin_suspects",
              "Prompt segments suspected of crashes");

static const unsigned list_limits[LIST_COUNT] = {
  [LIST_NEW] = 1024,
  [LIST_SHARED] = 4096,
  [LIST_SUSPECTED] = 4096,
  [LIST_PROVED] = 256,
};

/* Create an empty table.  Returns NULL when memory is exhausted.  */
suspects_t *
suspects_create (TALLOC_CTX *parent, const clock_source_t *clock)
{
  suspects_t *suspects = talloc_zero (parent, suspects_t);

  if (suspects == NULL)
    return NULL;
  suspects->clock = clock;
  suspects->table = table_create (suspects, LOCK_SUSPECTS, "suspects");
  for (unsigned i = 0; i < LIST_COUNT; i++)
    TAILQ_INIT (&suspects->lists[i]);
  TAILQ_INIT (&suspects->updates);
  return suspects;
}

/* Free SUSPECTS.  */
void
suspects_destroy (suspects_t *suspects)
{
  talloc_free (suspects);
}

/* Return whether any segment has crashes.  */
bool
suspects_has_any (const suspects_t *suspects)
{
  return suspects->counts[LIST_SUSPECTED] + suspects->counts[LIST_PROVED] > 0;
}

/* Return the entry of SEGMENT, or NULL.  */
suspect_t *
suspect_find (const suspects_t *suspects, uint64_t segment)
{
  table_node_t *node = table_find (suspects->table, &segment, sizeof segment);

  return node == NULL ? NULL : CONTAINER_OF (node, suspect_t, node);
}

/* Return the list that SUSPECT belongs to now.  */
static suspect_list_kind_t
suspect_list_kind (const suspect_t *suspect)
{
  if (suspect_history_is_proved (&suspect->history))
    return LIST_PROVED;
  if (suspect->history.crash_count > 0)
    return LIST_SUSPECTED;
  return suspect->is_shared ? LIST_SHARED : LIST_NEW;
}

static void
suspect_unlink (suspects_t *suspects, suspect_t *suspect)
{
  TAILQ_REMOVE (&suspects->lists[suspect->kind], suspect, link);
  suspects->counts[suspect->kind]--;
}

/* Insert SUSPECT as the most recently used of the list that it belongs to.  */
static void
suspect_link (suspects_t *suspects, suspect_t *suspect)
{
  suspect->kind = suspect_list_kind (suspect);
  TAILQ_INSERT_TAIL (&suspects->lists[suspect->kind], suspect, link);
  suspects->counts[suspect->kind]++;
  counter_set (&suspected_gauge, suspects->counts[LIST_SUSPECTED]
                                     + suspects->counts[LIST_PROVED]);
}

/* SUSPECT has been used or changed.  */
void
suspect_relink (suspects_t *suspects, suspect_t *suspect)
{
  suspect_unlink (suspects, suspect);
  suspect_link (suspects, suspect);
}

static void
suspect_free (suspects_t *suspects, suspect_t *suspect)
{
  suspect_unlink (suspects, suspect);
  if (suspect->is_update)
    TAILQ_REMOVE (&suspects->updates, suspect, update_link);
  table_remove (suspects->table, &suspect->node);
  talloc_free (suspect);
}

/* Forget the least recently used segments beyond the limits.  */
void
suspects_trim (suspects_t *suspects)
{
  for (unsigned i = 0; i < LIST_COUNT; i++)
    {
      while (suspects->counts[i] > list_limits[i])
        suspect_free (suspects, TAILQ_FIRST (&suspects->lists[i]));
    }
}

static suspect_t *
suspect_add (suspects_t *suspects, uint64_t segment)
{
  suspect_t *suspect = talloc_zero (suspects, suspect_t);

  if (suspect == NULL)
    return NULL;
  suspect->history.segment = segment;
  if (table_insert (suspects->table, &suspect->node, &suspect->history.segment,
                    sizeof suspect->history.segment)
      != STATUS_OK)
    {
      talloc_free (suspect);
      return NULL;
    }
  suspect_link (suspects, suspect);
  return suspect;
}

/* Return the entry of SEGMENT.  A new one is added unless *ROOM, how many may
   still be added, is 0.  */
suspect_t *
suspect_find_or_add (suspects_t *suspects, uint64_t segment, unsigned *room)
{
  suspect_t *suspect = suspect_find (suspects, segment);

  if (suspect != NULL || *room == 0)
    return suspect;
  (*room)--;
  return suspect_add (suspects, segment);
}

/* SUSPECT has changed in a way that other processes must learn.  */
void
suspect_set_updated (suspects_t *suspects, suspect_t *suspect)
{
  if (suspect->is_update)
    return;
  suspect->is_update = true;
  TAILQ_INSERT_TAIL (&suspects->updates, suspect, update_link);
}

/* Take a record that has changed since it was last taken.  */
bool
suspects_take_update (suspects_t *suspects, suspect_record_t *record)
{
  suspect_t *suspect;

  table_lock (suspects->table);
  suspect = TAILQ_FIRST (&suspects->updates);
  if (suspect != NULL)
    {
      TAILQ_REMOVE (&suspects->updates, suspect, update_link);
      suspect->is_update = false;
      suspect_history_to_record (&suspect->history,
                                 clock_monotonic (suspects->clock), record);
    }
  table_unlock (suspects->table);
  return suspect != NULL;
}

/* Add to RECORDS, which have COUNT, those of the segments in LIST that need a
   probe, the last used ones first.  Returns the new count.  */
static unsigned
list_collect (const struct suspect_list *list, struct timespec now,
              suspect_record_t *records, unsigned count)
{
  const suspect_t *suspect;

  TAILQ_FOREACH_REVERSE (suspect, list, suspect_list, link)
  {
    if (count == MAX_LISTED)
      break;
    if (suspect_history_needs_probe (&suspect->history))
      suspect_history_to_record (&suspect->history, now, &records[count++]);
  }
  return count;
}

/* Return the records of the segments that other processes must know to treat
   them alike, *COUNT of them, in an array owned by PARENT.  */
suspect_record_t *
suspects_list (TALLOC_CTX *parent, suspects_t *suspects, unsigned *count)
{
  struct timespec now = clock_monotonic (suspects->clock);
  suspect_record_t *records;

  *count = 0;
  table_lock (suspects->table);
  records = talloc_array (parent, suspect_record_t, MAX_LISTED);
  if (records != NULL)
    {
      *count = list_collect (&suspects->lists[LIST_PROVED], now, records, 0);
      *count = list_collect (&suspects->lists[LIST_SUSPECTED], now, records,
                             *count);
    }
  table_unlock (suspects->table);
  return records;
}
