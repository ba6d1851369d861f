#include "common/rate_limits.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/table.h"

#include <math.h>

enum
{
  MAX_LIMITS = 1024,
  /* Responses overtake each other, so one without a limit this soon after one
     with a limit may be the older one.  */
  OVERTAKE_MS = 1000,
  LIMIT_MEMORY_MS = 600000, /* a limit that was not seen for so long is void */
  SLOT_VALIDITY_MS = 500,   /* an unused slot is lost after this time */
  /* An upstream gets at least this many requests in all, in thousandths a
     second: only its responses show that its need is over.  */
  LIMIT_MIN = 100,
  CHANGE_DIVISOR = 20, /* smaller changes of a limit are ignored */
  MS_PER_S = 1000,
  US_PER_S = 1000000
};

COUNTER_DEFINE (limits_named, "siskin_rate_limits_named_total",
                "Rate limits that upstreams have named or changed");

typedef struct rate_limit
{
  table_node_t node;
  TAILQ_ENTRY (rate_limit) link; /* least recently changed first */
  TAILQ_ENTRY (rate_limit) update_link;
  uint64_t upstream;
  bool is_limited;
  uint64_t limit; /* in units */
  struct timespec seen_at;
  struct timespec since;
  struct timespec used_slot; /* time of the last slot that was used */
  bool is_update;            /* it is in UPDATES */
} rate_limit_t;

struct rate_limits
{
  const clock_source_t *clock;
  table_t *table; /* by upstream; its lock protects everything */
  TAILQ_HEAD (rate_limit_list, rate_limit) all;
  struct rate_limit_list updates;
};

/* Create an empty table.  Returns NULL when memory is exhausted.  */
rate_limits_t *
rate_limits_create (TALLOC_CTX *parent, const clock_source_t *clock)
{
  rate_limits_t *limits = talloc_zero (parent, rate_limits_t);

  if (limits == NULL)
    return NULL;
  limits->clock = clock;
  limits->table = table_create (limits, LOCK_RATE_LIMITS, "rate-limits");
  TAILQ_INIT (&limits->all);
  TAILQ_INIT (&limits->updates);
  return limits;
}

/* Free LIMITS.  */
void
rate_limits_destroy (rate_limits_t *limits)
{
  talloc_free (limits);
}

static int64_t
ms_between (struct timespec from, struct timespec to)
{
  return timespec_to_ms (timespec_subtract (to, from));
}

static rate_limit_t *
rate_limit_find (const rate_limits_t *limits, uint64_t upstream)
{
  table_node_t *node = table_find (limits->table, &upstream, sizeof upstream);

  return node == NULL ? NULL : CONTAINER_OF (node, rate_limit_t, node);
}

static void
rate_limit_free (rate_limits_t *limits, rate_limit_t *limit)
{
  TAILQ_REMOVE (&limits->all, limit, link);
  if (limit->is_update)
    TAILQ_REMOVE (&limits->updates, limit, update_link);
  table_remove (limits->table, &limit->node);
  talloc_free (limit);
}

static rate_limit_t *
rate_limit_add (rate_limits_t *limits, uint64_t upstream)
{
  rate_limit_t *limit = talloc_zero (limits, rate_limit_t);

  if (limit == NULL)
    return NULL;
  limit->upstream = upstream;
  if (table_insert (limits->table, &limit->node, &limit->upstream,
                    sizeof limit->upstream)
      != STATUS_OK)
    {
      talloc_free (limit);
      return NULL;
    }
  TAILQ_INSERT_TAIL (&limits->all, limit, link);
  if (table_count (limits->table) > MAX_LIMITS)
    rate_limit_free (limits, TAILQ_FIRST (&limits->all));
  return limit;
}

/* LIMIT has changed: log it and make it the most recently changed one.  */
static void
rate_limit_handle_change (rate_limits_t *limits, rate_limit_t *limit)
{
  TAILQ_REMOVE (&limits->all, limit, link);
  TAILQ_INSERT_TAIL (&limits->all, limit, link);
  if (limit->is_limited)
    counter_add (&limits_named, 1);
  log_event (LOG_LEVEL_NOTICE,
             limit->is_limited ? "rate-limited" : "rate-limit-lifted",
             "incarnation=%llx per_s=%.3f",
             (unsigned long long)limit->upstream,
             (double)limit->limit / RATE_PER_UNIT);
}

/* Return whether a limit of UNITS differs from LIMIT by enough to matter.  */
static bool
rate_limit_differs (const rate_limit_t *limit, uint64_t units)
{
  uint64_t apart
      = limit->limit > units ? limit->limit - units : units - limit->limit;

  return apart > limit->limit / CHANGE_DIVISOR;
}

/* Set LIMIT to UNITS, named by a response that arrived at SEEN_AT; the first
   one to name a limit came at SINCE.  Returns whether anything that matters
   has changed.  */
static bool
rate_limit_set (rate_limits_t *limits, rate_limit_t *limit, uint64_t units,
                struct timespec seen_at, struct timespec since)
{
  bool was_limited = limit->is_limited;

  limit->seen_at = seen_at;
  if (was_limited && !rate_limit_differs (limit, units))
    return false;
  if (!was_limited)
    limit->since = since;
  limit->is_limited = true;
  limit->limit = units;
  rate_limit_handle_change (limits, limit);
  return true;
}

/* A response that arrived at SEEN_AT named no limit.  Returns whether that
   ends LIMIT.  */
static bool
rate_limit_lift (rate_limits_t *limits, rate_limit_t *limit,
                 struct timespec seen_at)
{
  if (!limit->is_limited || ms_between (limit->seen_at, seen_at) < OVERTAKE_MS)
    return false;
  limit->is_limited = false;
  limit->seen_at = seen_at;
  rate_limit_handle_change (limits, limit);
  return true;
}

/* Return LIMIT, in requests a second, in units.  */
static uint64_t
limit_units (double limit)
{
  static const double limit_max = 1e9;

  return (uint64_t)fmax (LIMIT_MIN, fmin (limit, limit_max) * RATE_PER_UNIT);
}

static bool
rate_limits_record_locked (rate_limits_t *limits, uint64_t upstream,
                           double limit)
{
  struct timespec now = clock_monotonic (limits->clock);
  rate_limit_t *known = rate_limit_find (limits, upstream);
  bool is_update;

  if (known == NULL && limit >= 0)
    known = rate_limit_add (limits, upstream);
  if (known == NULL)
    return false;
  is_update = limit < 0 ? rate_limit_lift (limits, known, now)
                        : rate_limit_set (limits, known, limit_units (limit),
                                          now, now);
  if (is_update && !known->is_update)
    TAILQ_INSERT_TAIL (&limits->updates, known, update_link);
  known->is_update = known->is_update || is_update;
  return is_update;
}

/* Record the limit that a response of UPSTREAM named.  */
bool
rate_limits_record (rate_limits_t *limits, uint64_t upstream, double limit)
{
  bool is_update;

  table_lock (limits->table);
  is_update = rate_limits_record_locked (limits, upstream, limit);
  table_unlock (limits->table);
  return is_update;
}

/* Return whether LIMIT is in force at NOW.  */
static bool
rate_limit_is_in_force (const rate_limit_t *limit, struct timespec now)
{
  return limit->is_limited
         && ms_between (limit->seen_at, now) < LIMIT_MEMORY_MS;
}

/* The own slots of a relay: times OFFSET_S + k * PERIOD_S after the limit was
   first named.  */
typedef struct slots
{
  double offset_s;
  double period_s;
} slots_t;

/* Return the slots of LIMIT that belong to SHARE.  The order of the relays
   differs from upstream to upstream.  */
static slots_t
rate_limit_slots (const rate_limit_t *limit, const rate_share_t *share)
{
  double gap_s = (double)RATE_PER_UNIT / (double)limit->limit;
  uint64_t turn = (limit->upstream + share->position) % share->relays;

  return (slots_t){ .offset_s = (double)turn * gap_s,
                    .period_s = (double)share->relays * gap_s };
}

static double
seconds_since (const rate_limit_t *limit, struct timespec at)
{
  return (double)timespec_to_us (timespec_subtract (at, limit->since))
         / US_PER_S;
}

/* Find the oldest own slot of LIMIT that may still be used at NOW.  SLOT_S is
   set to it, in seconds since the limit was first named.  */
static bool
rate_limit_find_slot (const rate_limit_t *limit, const rate_share_t *share,
                      struct timespec now, double *slot_s)
{
  static const double tolerance_s = 0.00001; /* of times in microseconds */
  slots_t slots = rate_limit_slots (limit, share);
  double now_s = seconds_since (limit, now);
  double oldest_s
      = fmax (seconds_since (limit, limit->used_slot) + tolerance_s,
              now_s - (double)SLOT_VALIDITY_MS / MS_PER_S);
  double index = ceil ((oldest_s - slots.offset_s) / slots.period_s);

  *slot_s = slots.offset_s + fmax (index, 0) * slots.period_s;
  return *slot_s <= now_s;
}

/* Return whether a relay with SHARE may send UPSTREAM a request now.  */
bool
rate_limits_has_slot (rate_limits_t *limits, uint64_t upstream,
                      const rate_share_t *share)
{
  struct timespec now = clock_monotonic (limits->clock);
  const rate_limit_t *limit = NULL;
  bool has_slot;
  double slot_s;

  table_lock (limits->table);
  if (table_count (limits->table) > 0)
    limit = rate_limit_find (limits, upstream);
  has_slot = limit == NULL || !rate_limit_is_in_force (limit, now)
             || rate_limit_find_slot (limit, share, now, &slot_s);
  table_unlock (limits->table);
  return has_slot;
}

/* Use the oldest own slot of UPSTREAM.  */
void
rate_limits_use_slot (rate_limits_t *limits, uint64_t upstream,
                      const rate_share_t *share)
{
  struct timespec now = clock_monotonic (limits->clock);
  rate_limit_t *limit;
  double slot_s;

  table_lock (limits->table);
  limit = rate_limit_find (limits, upstream);
  if (limit != NULL && rate_limit_is_in_force (limit, now)
      && rate_limit_find_slot (limit, share, now, &slot_s))
    limit->used_slot = timespec_add (
        limit->since, timespec_from_us ((int64_t)(slot_s * US_PER_S)));
  table_unlock (limits->table);
}

static void
rate_limit_to_record (const rate_limit_t *limit, struct timespec now,
                      rate_limit_record_t *record)
{
  *record = (rate_limit_record_t){
    .upstream = limit->upstream,
    .is_limited = limit->is_limited,
    .limit = limit->limit,
    .seen_age_ms = ms_between (limit->seen_at, now),
    .since_age_ms = ms_between (limit->since, now),
  };
}

/* Take a record that has changed since it was last taken.  */
bool
rate_limits_take_update (rate_limits_t *limits, rate_limit_record_t *record)
{
  rate_limit_t *limit;

  table_lock (limits->table);
  limit = TAILQ_FIRST (&limits->updates);
  if (limit != NULL)
    {
      TAILQ_REMOVE (&limits->updates, limit, update_link);
      limit->is_update = false;
      rate_limit_to_record (limit, clock_monotonic (limits->clock), record);
    }
  table_unlock (limits->table);
  return limit != NULL;
}

/* Implement rate_limits_merge for KNOWN.  */
static bool
rate_limit_merge (rate_limits_t *limits, rate_limit_t *known,
                  const rate_limit_record_t *record, struct timespec now)
{
  struct timespec seen_at
      = timespec_subtract (now, timespec_from_ms (record->seen_age_ms));
  struct timespec since
      = timespec_subtract (now, timespec_from_ms (record->since_age_ms));

  /* All relays count slots from the first response that named the limit.  */
  if (known->is_limited && record->is_limited
      && timespec_compare (since, known->since) < 0)
    known->since = since;
  if (timespec_compare (seen_at, known->seen_at) <= 0)
    return false;
  if (!record->is_limited)
    return rate_limit_lift (limits, known, seen_at);
  return rate_limit_set (limits, known,
                         record->limit < LIMIT_MIN ? LIMIT_MIN : record->limit,
                         seen_at, since);
}

/* Merge what another process knows.  */
bool
rate_limits_merge (rate_limits_t *limits, const rate_limit_record_t *record)
{
  rate_limit_t *known;
  bool is_changed = false;

  table_lock (limits->table);
  known = rate_limit_find (limits, record->upstream);
  if (known == NULL && record->is_limited)
    known = rate_limit_add (limits, record->upstream);
  if (known != NULL)
    is_changed = rate_limit_merge (limits, known, record,
                                   clock_monotonic (limits->clock));
  table_unlock (limits->table);
  return is_changed;
}

/* Return the records of all limits in force, *COUNT of them, in an array owned
   by PARENT.  */
rate_limit_record_t *
rate_limits_list (TALLOC_CTX *parent, rate_limits_t *limits, unsigned *count)
{
  struct timespec now = clock_monotonic (limits->clock);
  rate_limit_record_t *records;
  const rate_limit_t *limit;

  *count = 0;
  table_lock (limits->table);
  records = talloc_array (parent, rate_limit_record_t,
                          table_count (limits->table));
  if (records != NULL)
    TAILQ_FOREACH (limit, &limits->all, link)
      {
        if (rate_limit_is_in_force (limit, now))
          rate_limit_to_record (limit, now, &records[(*count)++]);
      }
  table_unlock (limits->table);
  return records;
}
