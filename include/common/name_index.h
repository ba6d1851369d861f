#ifndef SISKIN_COMMON_NAME_INDEX_H
#define SISKIN_COMMON_NAME_INDEX_H

#include <stddef.h>
#include <talloc.h>

typedef struct name_item
{
  const char *name;
  const void *object;
  size_t position; /* in insertion order; orders items of equal name */
} name_item_t;

/* Finds objects by name in a sorted array.  It is filled and sorted once and
   read-only afterwards, so any number of threads can look up names
   concurrently.  A zeroed structure is an empty index.  */
typedef struct name_index
{
  name_item_t *items;
  size_t count;
} name_index_t;

/* Called for SECOND, which was added under the same name as FIRST, the first
   object of that name.  */
typedef void (*name_duplicate_handler_t) (const void *first,
                                          const void *second, void *data);

void name_index_add (name_index_t *index, TALLOC_CTX *parent, const char *name,
                     const void *object);
void name_index_sort (name_index_t *index);
const void *name_index_find (const name_index_t *index, const char *name);
void name_index_report_duplicates (const name_index_t *index,
                                   name_duplicate_handler_t report,
                                   void *data);

#endif
