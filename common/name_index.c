#include "common/name_index.h"

#include <stdlib.h>
#include <string.h>

enum
{
  FIRST_CAPACITY = 16
};

/* Add OBJECT under NAME, which must live as long as the index.  The array
   belongs to PARENT.  */
void
name_index_add (name_index_t *index, TALLOC_CTX *parent, const char *name,
                const void *object)
{
  size_t capacity = talloc_array_length (index->items);

  if (index->count == capacity)
    {
      size_t wanted = capacity == 0 ? FIRST_CAPACITY : capacity * 2;
      name_item_t *larger
          = talloc_realloc (parent, index->items, name_item_t, wanted);

      if (larger == NULL)
        return;
      index->items = larger;
    }
  index->items[index->count] = (name_item_t){ name, object, index->count };
  index->count++;
}

static int
item_compare (const void *left, const void *right)
{
  const name_item_t *first = left;
  const name_item_t *second = right;
  int order = strcmp (first->name, second->name);

  if (order != 0)
    return order;
  return first->position < second->position ? -1 : 1;
}

static int
item_compare_name (const void *name, const void *item)
{
  return strcmp (name, ((const name_item_t *)item)->name);
}

/* Make INDEX ready for lookups after the last name was added.  */
void
name_index_sort (name_index_t *index)
{
  if (index->count > 1)
    qsort (index->items, index->count, sizeof *index->items, item_compare);
}

/* Return the object under NAME, or NULL.  */
const void *
name_index_find (const name_index_t *index, const char *name)
{
  const name_item_t *item;

  if (index->count == 0)
    return NULL;
  item = bsearch (name, index->items, index->count, sizeof *index->items,
                  item_compare_name);
  return item == NULL ? NULL : item->object;
}

/* Call REPORT for each object whose name an earlier one has already.  */
void
name_index_report_duplicates (const name_index_t *index,
                              name_duplicate_handler_t report, void *data)
{
  size_t first = 0;

  for (size_t i = 1; i < index->count; i++)
    {
      if (strcmp (index->items[first].name, index->items[i].name) != 0)
        first = i;
      else
        report (index->items[first].object, index->items[i].object, data);
    }
}
