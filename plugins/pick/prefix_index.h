#ifndef SISKIN_PLUGINS_PICK_PREFIX_INDEX_H
#define SISKIN_PLUGINS_PICK_PREFIX_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Which upstreams hold which blocks of prompts, as far as one entry knows.
   Of bounded size: the block that was used longest ago makes room.  */
typedef struct prefix_index prefix_index_t;

enum
{
  PREFIX_MAX_HOLDERS = 3
};

/* The upstreams known to hold a block, the latest first.  */
typedef struct prefix_holders
{
  uint64_t names[PREFIX_MAX_HOLDERS]; /* hashes */
  size_t count;
  bool is_common; /* more hold it than are listed */
} prefix_holders_t;

prefix_index_t *prefix_index_create (TALLOC_CTX *parent, size_t capacity);
void prefix_index_destroy (prefix_index_t *index);
const prefix_holders_t *prefix_index_find (const prefix_index_t *index,
                                           uint64_t block);
void prefix_index_add (prefix_index_t *index, uint64_t block, uint64_t name);
void prefix_index_remove (prefix_index_t *index, uint64_t block,
                          uint64_t name);
void prefix_index_remove_upstream (prefix_index_t *index, uint64_t name);
size_t prefix_index_count (const prefix_index_t *index);

#endif
