#include "relay/retry_budget.h"

#include "kernel/counter.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  SLOTS_A_WINDOW = 10,
  /* One slot more than a window, so that every sliding window is covered.  */
  SLOTS = SLOTS_A_WINDOW + 1,
  SUCCESSOR_REPEATS = 3 /* besides, in the first window after a start */
};

/* The part of what is allowed that is used: relays do not see each other's
   counts, and their requests are not spread evenly.  */
static const double used_part = 0.8;

COUNTER_DEFINE (repeats_granted, "siskin_retries_granted_total",
                "Requests sent once more");
COUNTER_DEFINE (repeats_denied, "siskin_retries_denied_total",
                "Requests not sent once more for want of budget");

/* What happened in a part of the window.  */
typedef struct budget_slot
{
  int64_t number; /* since the clock's start */
  unsigned requests;
  unsigned repeats;
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
  unsigned relays;
  struct timespec most_at; /* when there were that many, or more, last */
  table_t *services;       /* by name; guards the whole budget */
};

/* Create a budget for one relay.  */
retry_budget_t *
retry_budget_create (TALLOC_CTX *parent, const clock_source_t *clock,
                     const retry_limits_t *limits)
{
  retry_budget_t *budget = talloc_zero (parent, retry_budget_t);

  if (budget == NULL)
    return NULL;
  budget->clock = clock;
  budget->limits = *limits;
  budget->slot_us = timespec_to_us (limits->window) / SLOTS_A_WINDOW;
  if (budget->slot_us <= 0)
    budget->slot_us = 1;
  budget->created_at = clock_monotonic (clock);
  budget->relays = 1;
  budget->services = table_create (budget, LOCK_ACCOUNTS, "retry-budget");
  return budget;
}

/* Put LIMITS in force; what was counted still counts.  */
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

/* Note how many relays share what is allowed besides.  What those that have
   gone sent counts for a window more, so the number falls only then.  */
void
retry_budget_set_relays (retry_budget_t *budget, unsigned count)
{
  struct timespec now = clock_monotonic (budget->clock);

  table_lock (budget->services);
  if (count >= budget->relays
      || timespec_compare (
             timespec_add (budget->most_at, budget->limits.window), now)
             <= 0)
    {
      budget->relays = count > 0 ? count : 1;
      budget->most_at = now;
    }
  table_unlock (budget->services);
}

static budget_service_t *
budget_service_of (retry_budget_t *budget, const char *name)
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
budget_slot_now (const retry_budget_t *budget, budget_service_t *service)
{
  int64_t number = budget_slot_number (budget);
  budget_slot_t *slot = &service->slots[number % SLOTS];

  if (slot->number != number)
    *slot = (budget_slot_t){ .number = number };
  return slot;
}

/* Count a first sending of a request to SERVICE.  */
void
retry_budget_count_request (retry_budget_t *budget, const char *service)
{
  budget_service_t *known;

  table_lock (budget->services);
  known = budget_service_of (budget, service);
  if (known != NULL)
    budget_slot_now (budget, known)->requests++;
  table_unlock (budget->services);
}

/* Return how many repeats this relay may make besides.  One that has just
   started may be the successor of one that has made them, and does not know
   yet how many others there are: it gets little, out of the unused part.  */
static double
budget_extra (const retry_budget_t *budget)
{
  struct timespec age = timespec_subtract (clock_monotonic (budget->clock),
                                           budget->created_at);
  double extra = budget->limits.extra / budget->relays;

  if (budget->limits.is_first_start
      || timespec_compare (age, budget->limits.window) >= 0)
    return extra * used_part;
  extra *= 1 - used_part;
  return extra < SUCCESSOR_REPEATS ? extra : SUCCESSOR_REPEATS;
}

static bool
budget_allows (const retry_budget_t *budget, const budget_service_t *service)
{
  int64_t now = budget_slot_number (budget);
  double allowed = budget_extra (budget);
  unsigned repeats = 0;

  for (unsigned i = 0; i < SLOTS; i++)
    {
      const budget_slot_t *slot = &service->slots[i];

      if (now - slot->number >= SLOTS)
        continue;
      repeats += slot->repeats;
      /* The oldest slot may lie outside the window that counts.  */
      if (now - slot->number < SLOTS_A_WINDOW)
        allowed += budget->limits.ratio * slot->requests * used_part;
    }
  return repeats + 1 <= allowed;
}

/* Take the right to send a request to SERVICE once more.  Returns whether it
   was granted.  */
bool
retry_budget_take (retry_budget_t *budget, const char *service)
{
  budget_service_t *known;
  bool is_granted = false;

  table_lock (budget->services);
  known = budget_service_of (budget, service);
  if (known != NULL && budget_allows (budget, known))
    {
      budget_slot_now (budget, known)->repeats++;
      is_granted = true;
    }
  table_unlock (budget->services);
  counter_add (is_granted ? &repeats_granted : &repeats_denied, 1);
  return is_granted;
}
