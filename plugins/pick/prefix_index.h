#ifndef SISKIN_PLUGINS_PICK_PREFIX_INDEX_H
#define SISKIN_PLUGINS_PICK_PREFIX_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Maps hashes of prompt blocks to the upstreams known to have them cached.
   Its size is bounded; the least recently used block is dropped first.  */
typedef struct prefix_index prefix_index_t;

enum
{
  PREFIX_MAX_HOLDERS = 3 /* upstreams listed for one block */
};

/* The upstreams known to hold a block, most recently added first.  */
typedef struct prefix_holders
{
  uint64_t names[PREFIX_MAX_HOLDERS]; /* hashes of upstream names */
  size_t count;
  bool is_common; /* more upstreams hold it than are listed */
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
