#ifndef SISKIN_KERNEL_HEAP_H
#define SISKIN_KERNEL_HEAP_H

#include <stdbool.h>
#include <stddef.h>

/* An intrusive pairing heap; its root is the smallest node.  Insertion takes
   constant time, removal amortized logarithmic time.  */
typedef struct heap_node
{
  struct heap_node *child;
  struct heap_node *next;     /* sibling */
  struct heap_node *previous; /* sibling, or the parent of a first child */
} heap_node_t;

/* Return whether LEFT sorts before RIGHT.  */
typedef bool (*heap_before_t) (const heap_node_t *left,
                               const heap_node_t *right);

typedef struct heap
{
  heap_node_t *root; /* NULL when empty */
  heap_before_t before;
} heap_t;

void heap_init (heap_t *heap, heap_before_t before);
void heap_insert (heap_t *heap, heap_node_t *node);
void heap_remove (heap_t *heap, heap_node_t *node);
heap_node_t *heap_first (const heap_t *heap);

#endif
