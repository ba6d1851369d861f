#include "kernel/table.h"

#include <string.h>
#include <xxhash.h>

enum
{
  TABLE_INITIAL_BUCKETS = 64,
  TABLE_MAX_NODES_PER_BUCKET = 2 /* average at which the table grows */
};

LIST_HEAD (bucket, table_node);

struct table
{
  lock_t *lock;
  const char *name;
  struct bucket *buckets;
  size_t bucket_count; /* a power of two */
  size_t count;
};

static struct bucket *
table_bucket (const table_t *table, uint64_t hash)
{
  return &table->buckets[hash & (table->bucket_count - 1)];
}

/* Double the number of buckets.  Does nothing when memory is exhausted.  */
static void
table_grow (table_t *table)
{
  size_t old_count = table->bucket_count;
  struct bucket *old = table->buckets;
  struct bucket *larger
      = talloc_zero_array (table, struct bucket, old_count * 2);

  if (larger == NULL)
    return;
  table->buckets = larger;
  table->bucket_count = old_count * 2;
  for (size_t i = 0; i < old_count; i++)
    {
      table_node_t *node;

      while ((node = LIST_FIRST (&old[i])) != NULL)
        {
          LIST_REMOVE (node, link);
          LIST_INSERT_HEAD (table_bucket (table, node->hash), node, link);
        }
    }
  talloc_free (old);
}

/* Create an empty table whose lock has RANK.  NAME is kept by reference.
   Returns NULL when memory is exhausted.  */
table_t *
table_create (TALLOC_CTX *parent, lock_rank_t rank, const char *name)
{
  table_t *table = talloc_zero (parent, table_t);

  if (table == NULL)
    return NULL;
  table->name = name;
  table->bucket_count = TABLE_INITIAL_BUCKETS;
  table->buckets
      = talloc_zero_array (table, struct bucket, TABLE_INITIAL_BUCKETS);
  table->lock = lock_create (table, rank, name);
  if (table->buckets == NULL || table->lock == NULL)
    {
      talloc_free (table);
      return NULL;
    }
  return table;
}

/* Free TABLE.  The nodes, which belong to their objects, are not touched.  */
void
table_destroy (table_t *table)
{
  talloc_free (table);
}

/* Acquire the table's lock.  */
void
table_lock (table_t *table)
{
  lock_acquire (table->lock);
}

/* Release the table's lock.  */
void
table_unlock (table_t *table)
{
  lock_release (table->lock);
}

/* Insert NODE under KEY, which must stay valid while the node is in the
   table.  Returns STATUS_CONFLICT when the table already has the key.  */
status_t
table_insert (table_t *table, table_node_t *node, const void *key,
              size_t key_length)
{
  if (table_find (table, key, key_length) != NULL)
    return status_set (STATUS_CONFLICT, "duplicate key in table %s",
                       table->name);
  if (table->count >= table->bucket_count * TABLE_MAX_NODES_PER_BUCKET)
    table_grow (table);
  node->key = key;
  node->key_length = key_length;
  node->hash = XXH3_64bits (key, key_length);
  LIST_INSERT_HEAD (table_bucket (table, node->hash), node, link);
  table->count++;
  return STATUS_OK;
}

/* Return the node whose key is KEY, or NULL.  */
table_node_t *
table_find (const table_t *table, const void *key, size_t key_length)
{
  uint64_t hash = XXH3_64bits (key, key_length);
  table_node_t *node;

  LIST_FOREACH (node, table_bucket (table, hash), link)
    {
      if (node->hash == hash && node->key_length == key_length
          && memcmp (node->key, key, key_length) == 0)
        return node;
    }
  return NULL;
}

/* Remove NODE from TABLE.  */
void
table_remove (table_t *table, table_node_t *node)
{
  LIST_REMOVE (node, link);
  table->count--;
}

/* Return the number of nodes.  */
size_t
table_count (const table_t *table)
{
  return table->count;
}

/* Iterate over the nodes in no particular order: return the one after
   PREVIOUS, or the first one when PREVIOUS is NULL.  Returns NULL at the
   end.  */
table_node_t *
table_next (const table_t *table, const table_node_t *previous)
{
  size_t index = 0;

  if (previous != NULL)
    {
      if (LIST_NEXT (previous, link) != NULL)
        return LIST_NEXT (previous, link);
      index = (previous->hash & (table->bucket_count - 1)) + 1;
    }
  for (; index < table->bucket_count; index++)
    {
      if (!LIST_EMPTY (&table->buckets[index]))
        return LIST_FIRST (&table->buckets[index]);
    }
  return NULL;
}
