#ifndef SISKIN_KERNEL_MEMORY_STATE_H
#define SISKIN_KERNEL_MEMORY_STATE_H

#include "kernel/lock.h"
#include "kernel/memory_budget.h"

/* State shared by the source files of the memory budget.  */

enum
{
  MEMORY_CLASS_COUNT = 16 /* classes of holders by size */
};

TAILQ_HEAD (memory_holder_list, memory_holder);

struct memory_worker
{
  memory_budget_t *budget;
  struct memory_holder_list chosen; /* to be dropped */
  void (*wake) (void *data);
  void *wake_data;
};

struct memory_budget
{
  const clock_source_t *clock;
  lock_t *lock;
  memory_limits_t limits;
  size_t large_limit;
  size_t held;
  size_t large_held;
  /* The parts of HELD and LARGE_HELD, and of CONNECTIONS, of holders that are
     to be dropped.  */
  size_t leaving;
  size_t large_leaving;
  unsigned connections;
  unsigned connections_leaving;
  /* Holders that wait for their peers, by size.  Each list is in the order of
     LISTED_MS, except where a holder changed its class without progress.  */
  struct memory_holder_list waiting[MEMORY_CLASS_COUNT];
  bool needs_trim; /* memory ran short since the last trim */
  /* Since the last log line.  */
  unsigned dropped_count;
  unsigned refused_count;
  int64_t logged_ms;
  memory_worker_t workers[];
};

/* The functions below need the lock of the budget (memory_classes.c).  */
unsigned memory_size_class (size_t bytes);
bool memory_is_large (size_t bytes);
/* Puts HOLDER at the end of the list of its class if it may be dropped.  */
void memory_holder_list (memory_holder_t *holder);
void memory_holder_unlist (memory_holder_t *holder);
/* Returns the holder to drop first because of REASON, other than EXCEPT, or
   NULL if none may be.  */
memory_holder_t *memory_budget_choose (memory_budget_t *budget,
                                       const memory_holder_t *except,
                                       memory_reason_t reason, int64_t now_ms);

#endif
