#ifndef SISKIN_COMMON_PRIORITY_SET_H
#define SISKIN_COMMON_PRIORITY_SET_H

#include <stdint.h>

enum
{
  PRIORITY_SET_MAX = 16
};

/* The distinct priorities that are in use, in ascending order: the most urgent
   first.  Of more than PRIORITY_SET_MAX, the least urgent are left out.  */
typedef struct priority_set
{
  unsigned count;
  int64_t values[PRIORITY_SET_MAX];
} priority_set_t;

void priority_set_add (priority_set_t *set, int64_t priority);
/* Returns the number of priorities in SET that are more urgent.  */
unsigned priority_set_rank (const priority_set_t *set, int64_t priority);

#endif
