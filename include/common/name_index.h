#ifndef SISKIN_COMMON_NAME_INDEX_H
#define SISKIN_COMMON_NAME_INDEX_H

#include <stddef.h>
#include <talloc.h>

typedef struct name_item
{
  const char *name;
  const void *object;
  size_t position; /* in the order of adding */
} name_item_t;

/* Objects by name, in a sorted array.  Built once and then only read, so any
   number of threads may look names up at the same time.  Zeroed it is an
   empty index.  */
typedef struct name_index
{
  name_item_t *items;
  size_t count;
} name_index_t;

/* SECOND was added after FIRST under the same name.  */
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
