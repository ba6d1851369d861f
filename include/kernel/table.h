#ifndef SISKIN_KERNEL_TABLE_H
#define SISKIN_KERNEL_TABLE_H

#include "kernel/lock.h"
#include "kernel/status.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

/* Embedded in every object that is stored in a shared table.  The object owns
   the memory of its key.  */
typedef struct table_node
{
  LIST_ENTRY (table_node) link;
  const void *key;
  size_t key_length;
  uint64_t hash;
} table_node_t;

/* A hash table of intrusive nodes, protected by one ranked lock.  Every
   function but create, destroy, lock and unlock must be called with the table
   locked.  */
typedef struct table table_t;

table_t *table_create (TALLOC_CTX *parent, lock_rank_t rank, const char *name);
void table_destroy (table_t *table);
void table_lock (table_t *table);
void table_unlock (table_t *table);
status_t table_insert (table_t *table, table_node_t *node, const void *key,
                       size_t key_length);
table_node_t *table_find (const table_t *table, const void *key,
                          size_t key_length);
void table_remove (table_t *table, table_node_t *node);
size_t table_count (const table_t *table);
table_node_t *table_next (const table_t *table, const table_node_t *previous);

/* Iterate over all nodes, in no particular order.  The body may remove the
   current node only if it leaves the loop afterwards.  */
#define TABLE_FOREACH(node, table)                                            \
  for ((node) = table_next ((table), NULL); (node) != NULL;                   \
       (node) = table_next ((table), (node)))

/* Return the object of TYPE whose member MEMBER is at POINTER.  */
#define CONTAINER_OF(pointer, type, member)                                   \
  ((type *)(void *)((char *)(pointer)-offsetof (type, member)))

#endif
