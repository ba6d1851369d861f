#include "relay/retry_budget.h"

#include "kernel/counter.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  SLOTS_PER_WINDOW = 10,
  /* One more than a window has, so that every sliding window is covered.  */
  SLOTS = SLOTS_PER_WINDOW + 1,
  /* Limit on the extra retries in the first window after a start.  */
  STARTUP_MAX_RETRIES = 3
};

/* Share of the allowed retries that is used: relays do not see each other's
   counts, and their requests are not spread evenly.  */
static const double usable_ratio = 0.8;

COUNTER_DEFINE (retries_granted, "siskin_retries_granted_total",
                "Requests sent once more");
COUNTER_DEFINE (retries_denied, "siskin_retries_denied_total",
                "Requests not sent once more for want of budget");

/* Counts of one time slot of the window.  */
typedef struct budget_slot
{
  int64_t number; /* slots since the clock's epoch */
  unsigned requests;
  unsigned retries;
} budget_slot_t;

typedef struct budget_service
{
  table_node_t node;
  char *name;
  budget_slot_t slots[SLOTS];
} budget_service_t;

struct retry_budget
{
  const clock_source_t *clock;
  retry_limits_t limits;
  int64_t slot_us;
  struct timespec created_at;
  unsigned relay_count;
  /* When at least RELAY_COUNT relays were last seen.  */
  struct timespec relay_count_seen_at;
  table_t *services; /* by name; its lock protects the whole budget */
};

/* Create a budget for one relay.  Returns NULL when memory is exhausted.  */
retry_budget_t *
retry_budget_create (TALLOC_CTX *parent, const clock_source_t *clock,
                     const retry_limits_t *limits)
{
  retry_budget_t *budget = talloc_zero (parent, retry_budget_t);

  if (budget == NULL)
    return NULL;
  budget->clock = clock;
  budget->limits = *limits;
  budget->slot_us = timespec_to_us (limits->window) / SLOTS_PER_WINDOW;
  if (budget->slot_us <= 0)
    budget->slot_us = 1;
  budget->created_at = clock_monotonic (clock);
  budget->relay_count = 1;
  budget->services = table_create (budget, LOCK_ACCOUNTS, "retry-budget");
  return budget;
}

/* Apply the ratio and the extra retries of LIMITS; requests and retries
   counted so far still count.  */
void
retry_budget_set_limits (retry_budget_t *budget, const retry_limits_t *limits)
{
  table_lock (budget->services);
  budget->limits.ratio = limits->ratio;
  budget->limits.extra = limits->extra;
  table_unlock (budget->services);
}

/* Free BUDGET.  */
void
retry_budget_destroy (retry_budget_t *budget)
{
  talloc_free (budget);
}

/* Set the number of relays that share the extra retries.  The retries of a
   relay that is gone count for one more window, so a lower number takes effect
   only after that.  */
void
retry_budget_set_relays (retry_budget_t *budget, unsigned count)
{
  struct timespec now = clock_monotonic (budget->clock);

  table_lock (budget->services);
  if (count >= budget->relay_count
      || timespec_compare (
             timespec_add (budget->relay_count_seen_at, budget->limits.window),
             now)
             <= 0)
    {
      budget->relay_count = count > 0 ? count : 1;
      budget->relay_count_seen_at = now;
    }
  table_unlock (budget->services);
}

static budget_service_t *
budget_find_or_add_service (retry_budget_t *budget, const char *name)
{
  table_node_t *node = table_find (budget->services, name, strlen (name));
  budget_service_t *service;

  if (node != NULL)
    return CONTAINER_OF (node, budget_service_t, node);
  service = talloc_zero (budget, budget_service_t);
  if (service == NULL)
    return NULL;
  service->name = talloc_strdup (service, name);
  table_insert (budget->services, &service->node, service->name,
                strlen (service->name));
  return service;
}

static int64_t
budget_slot_number (const retry_budget_t *budget)
{
  return timespec_to_us (clock_monotonic (budget->clock)) / budget->slot_us;
}

static budget_slot_t *
budget_current_slot (const retry_budget_t *budget, budget_service_t *service)
{
  int64_t number = budget_slot_number (budget);
  budget_slot_t *slot = &service->slots[number % SLOTS];

  if (slot->number != number)
    *slot = (budget_slot_t){ .number = number };
  return slot;
}

/* Count the first attempt of a request to SERVICE.  */
void
retry_budget_count_request (retry_budget_t *budget, const char *service)
{
  budget_service_t *known;

  table_lock (budget->services);
  known = budget_find_or_add_service (budget, service);
  if (known != NULL)
    budget_current_slot (budget, known)->requests++;
  table_unlock (budget->services);
}

/* Return this relay's share of the extra retries per window.  A relay that has
   just started may replace one that has used its share, and does not know the
   number of relays yet: it gets a small share, out of the part that is
   otherwise unused.  */
static double
budget_extra (const retry_budget_t *budget)
{
  struct timespec age = timespec_subtract (clock_monotonic (budget->clock),
                                           budget->created_at);
  double extra = budget->limits.extra / budget->relay_count;

  if (budget->limits.is_first_start
      || timespec_compare (age, budget->limits.window) >= 0)
    return extra * usable_ratio;
  extra *= 1 - usable_ratio;
  return extra < STARTUP_MAX_RETRIES ? extra : STARTUP_MAX_RETRIES;
}

/* Return whether one more retry keeps SERVICE within this relay's share of the
   limits.  */
static bool
budget_allows (const retry_budget_t *budget, const budget_service_t *service)
{
  int64_t now = budget_slot_number (budget);
  double allowed = budget_extra (budget);
  unsigned retries = 0;

  for (unsigned i = 0; i < SLOTS; i++)
    {
      const budget_slot_t *slot = &service->slots[i];

      if (now - slot->number >= SLOTS)
        continue;
      retries += slot->retries;
      /* The oldest slot may lie outside the sliding window.  */
      if (now - slot->number < SLOTS_PER_WINDOW)
        allowed += budget->limits.ratio * slot->requests * usable_ratio;
    }
  return retries + 1 <= allowed;
}

/* Reserve a retry of a request to SERVICE.  Returns whether the budget allows
   it.  */
bool
retry_budget_take (retry_budget_t *budget, const char *service)
{
  budget_service_t *known;
  bool is_granted = false;

  table_lock (budget->services);
  known = budget_find_or_add_service (budget, service);
  if (known != NULL && budget_allows (budget, known))
    {
      budget_current_slot (budget, known)->retries++;
      is_granted = true;
    }
  table_unlock (budget->services);
  counter_add (is_granted ? &retries_granted : &retries_denied, 1);
  return is_granted;
}
