#include "kernel/heap.h"

/* Make HEAP empty, ordered by BEFORE.  */
void
heap_init (heap_t *heap, heap_before_t before)
{
  heap->first = NULL;
  heap->before = before;
}

/* Return the least node, or NULL.  */
heap_node_t *
heap_first (const heap_t *heap)
{
  return heap->first;
}

/* Make the greater of two roots the first child of the other.  */
static heap_node_t *
heap_meld (const heap_t *heap, heap_node_t *left, heap_node_t *right)
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

/* Meld the siblings from FIRST on: in pairs, then the pairs from the back.  */
static heap_node_t *
heap_meld_siblings (const heap_t *heap, heap_node_t *first)
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
      left = heap_meld (heap, left, right);
      left->next = pairs;
      pairs = left;
    }
  while (pairs != NULL)
    {
      heap_node_t *next = pairs->next;

      pairs->next = NULL;
      root = heap_meld (heap, root, pairs);
      pairs = next;
    }
  return root;
}

/* Insert NODE, which is in no heap.  */
void
heap_insert (heap_t *heap, heap_node_t *node)
{
  node->child = node->next = node->previous = NULL;
  heap->first = heap_meld (heap, heap->first, node);
}

static void
heap_cut (heap_node_t *node)
{
  if (node->previous->child == node)
    node->previous->child = node->next;
  else
    node->previous->next = node->next;
  if (node->next != NULL)
    node->next->previous = node->previous;
  node->next = node->previous = NULL;
}

/* Take NODE out of HEAP.  Its order must not have changed since it was put
   in.  */
void
heap_remove (heap_t *heap, heap_node_t *node)
{
  heap_node_t *children = heap_meld_siblings (heap, node->child);

  node->child = NULL;
  if (node == heap->first)
    {
      heap->first = children;
      return;
    }
  heap_cut (node);
  heap->first = heap_meld (heap, heap->first, children);
}
