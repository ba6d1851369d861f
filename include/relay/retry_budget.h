#ifndef SISKIN_RELAY_RETRY_BUDGET_H
#define SISKIN_RELAY_RETRY_BUDGET_H

#include "kernel/clock.h"

#include <stdbool.h>
#include <talloc.h>
#include <time.h>

/* How many requests of a service may be sent once more: in any window, a part
   of its requests and some besides, for all relays together.  Each relay keeps
   to its part.  Safe to call from every worker.  */
typedef struct retry_budget retry_budget_t;

typedef struct retry_limits
{
  double ratio;           /* of the requests of a window */
  double extra;           /* besides, in a window, of all relays together */
  struct timespec window; /* any span of this length counts */
  bool is_first_start;    /* no relay before this one has used its part */
} retry_limits_t;

retry_budget_t *retry_budget_create (TALLOC_CTX *parent,
                                     const clock_source_t *clock,
                                     const retry_limits_t *limits);
void retry_budget_destroy (retry_budget_t *budget);
void retry_budget_set_limits (retry_budget_t *budget,
                              const retry_limits_t *limits);
void retry_budget_set_relays (retry_budget_t *budget, unsigned count);
void retry_budget_count_request (retry_budget_t *budget, const char *service);
bool retry_budget_take (retry_budget_t *budget, const char *service);

#endif
