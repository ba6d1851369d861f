#ifndef SISKIN_RELAY_RETRY_BUDGET_H
#define SISKIN_RELAY_RETRY_BUDGET_H

#include "kernel/clock.h"

#include <stdbool.h>
#include <talloc.h>
#include <time.h>

/* Limits the retries of each service.  In any window, the retries of all
   relays together are limited to a ratio of the service's requests plus a
   fixed number of extra retries.  Each relay keeps to its share.  Callable
   from every worker.  */
typedef struct retry_budget retry_budget_t;

typedef struct retry_limits
{
  double ratio; /* retries per request in a window */
  /* Retries per window beyond RATIO, of all relays together.  */
  double extra;
  struct timespec window; /* a sliding window */
  /* No earlier process of this relay has run, so nothing of its budget can be
     used up.  If false, this process may replace one that ran until now, whose
     retries still count in the window; it then gets only a small part of the
     extra retries until it has run for WINDOW.  */
  bool is_first_start;
} retry_limits_t;

retry_budget_t *retry_budget_create (TALLOC_CTX *parent,
                                     const clock_source_t *clock,
                                     const retry_limits_t *limits);
void retry_budget_destroy (retry_budget_t *budget);
void retry_budget_set_limits (retry_budget_t *budget,
                              const retry_limits_t *limits);
void retry_budget_set_relays (retry_budget_t *budget, unsigned count);
void retry_budget_count_request (retry_budget_t *budget, const char *service);
/* Reserves a retry if the budget allows it, and returns whether it does.  */
bool retry_budget_take (retry_budget_t *budget, const char *service);

#endif
