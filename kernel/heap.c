#include "kernel/heap.h"

/* Initialize HEAP as an empty heap that is ordered by BEFORE.  */
void
heap_init (heap_t *heap, heap_before_t before)
{
  heap->root = NULL;
  heap->before = before;
}

/* Return the smallest node, or NULL when HEAP is empty.  */
heap_node_t *
heap_first (const heap_t *heap)
{
  return heap->root;
}

/* Merge two heaps by making the larger root the first child of the smaller
   one, and return the common root.  Either may be NULL.  */
static heap_node_t *
heap_merge (const heap_t *heap, heap_node_t *left, heap_node_t *right)
{
  heap_node_t *parent = left;
  heap_node_t *child = right;

  if (left == NULL)
    return right;
  if (right == NULL)
    return left;
  if (heap->before (right, left))
    {
      parent = right;
      child = left;
    }
  child->previous = parent;
  child->next = parent->child;
  if (parent->child != NULL)
    parent->child->previous = child;
  parent->child = child;
  return parent;
}

/* Merge FIRST and the siblings after it, and return the common root.  First
   merges them in pairs, then merges the pairs from the last to the first.  */
static heap_node_t *
heap_merge_siblings (const heap_t *heap, heap_node_t *first)
{
  heap_node_t *pairs = NULL;
  heap_node_t *root = NULL;

  while (first != NULL)
    {
      heap_node_t *left = first;
      heap_node_t *right = left->next;

      first = right == NULL ? NULL : right->next;
      left->next = left->previous = NULL;
      if (right != NULL)
        right->next = right->previous = NULL;
      left = heap_merge (heap, left, right);
      left->next = pairs;
      pairs = left;
    }
  while (pairs != NULL)
    {
      heap_node_t *next = pairs->next;

      pairs->next = NULL;
      root = heap_merge (heap, root, pairs);
      pairs = next;
    }
  return root;
}

/* Insert NODE, which must not be in a heap.  */
void
heap_insert (heap_t *heap, heap_node_t *node)
{
  node->child = node->next = node->previous = NULL;
  heap->root = heap_merge (heap, heap->root, node);
}

/* Unlink NODE, which is not the root, from its parent and siblings.  */
static void
heap_unlink (heap_node_t *node)
{
  if (node->previous->child == node)
    node->previous->child = node->next;
  else
    node->previous->next = node->next;
  if (node->next != NULL)
    node->next->previous = node->previous;
  node->next = node->previous = NULL;
}

/* Remove NODE from HEAP.  Its position in the order must not have changed
   since it was inserted.  */
void
heap_remove (heap_t *heap, heap_node_t *node)
{
  heap_node_t *children = heap_merge_siblings (heap, node->child);

  node->child = NULL;
  if (node == heap->root)
    {
      heap->root = children;
      return;
    }
  heap_unlink (node);
  heap->root = heap_merge (heap, heap->root, children);
}
