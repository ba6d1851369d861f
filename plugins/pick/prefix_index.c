#include "plugins/pick/prefix_index.h"

#include <string.h>
#include <sys/queue.h>

typedef struct prefix_entry
{
  LIST_ENTRY (prefix_entry) bucket_link;
  TAILQ_ENTRY (prefix_entry) use_link;
  uint64_t block;
  prefix_holders_t holders;
} prefix_entry_t;

LIST_HEAD (prefix_bucket, prefix_entry);

struct prefix_index
{
  size_t capacity; /* a power of two */
  size_t count;
  struct prefix_bucket *buckets;
  TAILQ_HEAD (prefix_use_list, prefix_entry) by_use; /* the latest first */
};

/* Create an empty index of at most CAPACITY blocks, a power of two.  Returns
   NULL when memory is exhausted.  */
prefix_index_t *
prefix_index_create (TALLOC_CTX *parent, size_t capacity)
{
  prefix_index_t *index = talloc_zero (parent, prefix_index_t);

  if (index == NULL)
    return NULL;
  index->capacity = capacity;
  index->buckets = talloc_zero_array (index, struct prefix_bucket, capacity);
  TAILQ_INIT (&index->by_use);
  if (index->buckets == NULL)
    TALLOC_FREE (index);
  return index;
}

/* Free INDEX.  */
void
prefix_index_destroy (prefix_index_t *index)
{
  talloc_free (index);
}

static struct prefix_bucket *
index_bucket (const prefix_index_t *index, uint64_t block)
{
  return &index->buckets[block & (index->capacity - 1)];
}

static prefix_entry_t *
index_entry (const prefix_index_t *index, uint64_t block)
{
  prefix_entry_t *entry;

  LIST_FOREACH (entry, index_bucket (index, block), bucket_link)
    {
      if (entry->block == block)
        return entry;
    }
  return NULL;
}

/* Return who holds BLOCK, or NULL when nobody is known to.  */
const prefix_holders_t *
prefix_index_find (const prefix_index_t *index, uint64_t block)
{
  const prefix_entry_t *entry = index_entry (index, block);

  return entry == NULL || entry->holders.count == 0 ? NULL : &entry->holders;
}

static void
index_drop (prefix_index_t *index, prefix_entry_t *entry)
{
  LIST_REMOVE (entry, bucket_link);
  TAILQ_REMOVE (&index->by_use, entry, use_link);
  index->count--;
  talloc_free (entry);
}

static prefix_entry_t *
index_take_entry (prefix_index_t *index, uint64_t block)
{
  prefix_entry_t *entry = index_entry (index, block);

  if (entry != NULL)
    {
      TAILQ_REMOVE (&index->by_use, entry, use_link);
      TAILQ_INSERT_HEAD (&index->by_use, entry, use_link);
      return entry;
    }
  if (index->count >= index->capacity)
    index_drop (index, TAILQ_LAST (&index->by_use, prefix_use_list));
  entry = talloc_zero (index, prefix_entry_t);
  if (entry == NULL)
    return NULL;
  entry->block = block;
  LIST_INSERT_HEAD (index_bucket (index, block), entry, bucket_link);
  TAILQ_INSERT_HEAD (&index->by_use, entry, use_link);
  index->count++;
  return entry;
}

static void
holders_remove (prefix_holders_t *holders, uint64_t name)
{
  size_t kept = 0;

  for (size_t i = 0; i < holders->count; i++)
    {
      if (holders->names[i] != name)
        holders->names[kept++] = holders->names[i];
    }
  holders->count = kept;
}

/* Note that the upstream NAME holds BLOCK.  */
void
prefix_index_add (prefix_index_t *index, uint64_t block, uint64_t name)
{
  prefix_entry_t *entry = index_take_entry (index, block);
  prefix_holders_t *holders;

  if (entry == NULL)
    return;
  holders = &entry->holders;
  holders_remove (holders, name);
  if (holders->count == PREFIX_MAX_HOLDERS)
    {
      holders->is_common = true;
      holders->count--;
    }
  memmove (holders->names + 1, holders->names,
           holders->count * sizeof holders->names[0]);
  holders->names[0] = name;
  holders->count++;
}

/* Note that the upstream NAME dropped BLOCK.  */
void
prefix_index_remove (prefix_index_t *index, uint64_t block, uint64_t name)
{
  prefix_entry_t *entry = index_entry (index, block);

  if (entry == NULL)
    return;
  holders_remove (&entry->holders, name);
  if (entry->holders.count == 0)
    index_drop (index, entry);
}

/* Note that the upstream NAME holds nothing any more.  */
void
prefix_index_remove_upstream (prefix_index_t *index, uint64_t name)
{
  prefix_entry_t *entry = TAILQ_FIRST (&index->by_use);

  while (entry != NULL)
    {
      prefix_entry_t *next = TAILQ_NEXT (entry, use_link);

      holders_remove (&entry->holders, name);
      if (entry->holders.count == 0)
        index_drop (index, entry);
      entry = next;
    }
}

/* Return the number of blocks.  */
size_t
prefix_index_count (const prefix_index_t *index)
{
  return index->count;
}
