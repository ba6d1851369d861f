#include "relay/crashes.h"

#include "kernel/log.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  MAX_BROKEN_ATTEMPTS = 1024,
  MAX_BROKEN_SEGMENTS = 65536, /* of all broken attempts */
  MAX_LOST_ENGINES = 64,
  /* A pilot notices within this time of the connections' end that its engine
     is gone, or before it.  */
  PILOT_NOTICE_MS = 1500,
  /* The same for the listing, which a crashed upstream no longer renews.  */
  LISTING_NOTICE_MS = 15000
};

/* An attempt whose upstream may have crashed.  */
typedef struct broken_attempt
{
  STAILQ_ENTRY (broken_attempt) link;
  char *request;
  char *upstream;
  char *address;
  uint64_t *segments;
  unsigned segment_count;
  crash_evidence_t evidence; /* AT is when the connection broke */
} broken_attempt_t;

/* An engine that its pilot has lost.  */
typedef struct lost_engine
{
  STAILQ_ENTRY (lost_engine) link;
  char *address;
  struct timespec lost_at;
} lost_engine_t;

struct crashes
{
  const clock_source_t *clock;
  suspects_t *suspects;
  lock_t *lock; /* protects the lists; oldest entries first */
  STAILQ_HEAD (broken_list, broken_attempt) broken;
  unsigned broken_count;
  unsigned broken_segments; /* of all of them */
  STAILQ_HEAD (, lost_engine) lost;
  unsigned lost_count;
};

/* Create an empty record of broken attempts that reports crashes to SUSPECTS.
   Returns NULL when memory is exhausted.  */
crashes_t *
crashes_create (TALLOC_CTX *parent, const clock_source_t *clock,
                suspects_t *suspects)
{
  crashes_t *crashes = talloc_zero (parent, crashes_t);

  if (crashes == NULL)
    return NULL;
  crashes->clock = clock;
  crashes->suspects = suspects;
  crashes->lock = lock_create (crashes, LOCK_CRASHES, "crashes");
  STAILQ_INIT (&crashes->broken);
  STAILQ_INIT (&crashes->lost);
  return crashes;
}

/* Free CRASHES.  */
void
crashes_destroy (crashes_t *crashes)
{
  talloc_free (crashes);
}

static int64_t
crashes_age_ms (const crashes_t *crashes, struct timespec then)
{
  return timespec_to_ms (
      timespec_subtract (clock_monotonic (crashes->clock), then));
}

static void
broken_attempt_remove (crashes_t *crashes, broken_attempt_t *broken)
{
  STAILQ_REMOVE (&crashes->broken, broken, broken_attempt, link);
  crashes->broken_count--;
  crashes->broken_segments -= broken->segment_count;
  talloc_free (broken);
}

static bool
crashes_is_over_limit (const crashes_t *crashes)
{
  return crashes->broken_count > MAX_BROKEN_ATTEMPTS
         || crashes->broken_segments > MAX_BROKEN_SEGMENTS;
}

static void
crashes_expire (crashes_t *crashes)
{
  broken_attempt_t *broken;
  lost_engine_t *lost;

  while ((broken = STAILQ_FIRST (&crashes->broken)) != NULL
         && (crashes_is_over_limit (crashes)
             || crashes_age_ms (crashes, broken->evidence.at)
                    > LISTING_NOTICE_MS))
    broken_attempt_remove (crashes, broken);
  while ((lost = STAILQ_FIRST (&crashes->lost)) != NULL
         && (crashes->lost_count > MAX_LOST_ENGINES
             || crashes_age_ms (crashes, lost->lost_at) > PILOT_NOTICE_MS))
    {
      STAILQ_REMOVE_HEAD (&crashes->lost, link);
      crashes->lost_count--;
      talloc_free (lost);
    }
}

static bool
crashes_has_lost_engine (const crashes_t *crashes, const char *address)
{
  const lost_engine_t *lost;

  STAILQ_FOREACH (lost, &crashes->lost, link)
    {
      if (strcmp (lost->address, address) == 0)
        return true;
    }
  return false;
}

/* The upstream of BROKEN has crashed.  */
static bool
broken_attempt_confirm (crashes_t *crashes, const broken_attempt_t *broken)
{
  log_event (LOG_LEVEL_NOTICE, "crash-confirmed",
             "request=%s upstream=%s crash=%llx progress=%llu segments=%u",
             broken->request, broken->upstream,
             (unsigned long long)broken->evidence.crash,
             (unsigned long long)broken->evidence.progress,
             broken->segment_count);
  return suspects_record_crash (crashes->suspects, &broken->evidence,
                                broken->segments, broken->segment_count);
}

static broken_attempt_t *
broken_attempt_create (crashes_t *crashes, const crash_attempt_t *attempt)
{
  broken_attempt_t *broken = talloc_zero (crashes, broken_attempt_t);

  if (broken == NULL)
    return NULL;
  broken->request = talloc_strdup (broken, attempt->request);
  broken->upstream = talloc_strdup (broken, attempt->upstream);
  broken->address = talloc_strdup (broken, attempt->address);
  broken->segments
      = talloc_memdup (broken, attempt->segments,
                       attempt->segment_count * sizeof *attempt->segments);
  broken->segment_count = attempt->segment_count;
  broken->evidence = attempt->evidence;
  return broken;
}

/* Record ATTEMPT, which counts against its prompt once it is confirmed that
   its upstream has crashed.  */
bool
crashes_record_attempt (crashes_t *crashes, const crash_attempt_t *attempt)
{
  broken_attempt_t *broken;
  bool is_update = false;

  if (attempt->segment_count == 0)
    return false;
  lock_acquire (crashes->lock);
  crashes_expire (crashes);
  broken = broken_attempt_create (crashes, attempt);
  if (broken != NULL && crashes_has_lost_engine (crashes, attempt->address))
    {
      is_update = broken_attempt_confirm (crashes, broken);
      talloc_free (broken);
    }
  else if (broken != NULL)
    {
      STAILQ_INSERT_TAIL (&crashes->broken, broken, link);
      crashes->broken_count++;
      crashes->broken_segments += broken->segment_count;
    }
  lock_release (crashes->lock);
  return is_update;
}

/* Selects broken attempts.  */
typedef struct crash_filter
{
  const char *upstream;      /* NULL: any */
  const char *address;       /* NULL: any */
  uint64_t next_incarnation; /* of an upstream that did not crash; 0: none */
  int64_t max_age_ms;
} crash_filter_t;

static bool
broken_attempt_matches (const crashes_t *crashes,
                        const broken_attempt_t *broken,
                        const crash_filter_t *filter)
{
  if (filter->upstream != NULL
      && strcmp (broken->upstream, filter->upstream) != 0)
    return false;
  if (filter->address != NULL
      && strcmp (broken->address, filter->address) != 0)
    return false;
  return broken->evidence.crash != filter->next_incarnation
         && crashes_age_ms (crashes, broken->evidence.at)
                <= filter->max_age_ms;
}

/* The upstreams of the attempts that FILTER selects have crashed.  */
static bool
crashes_confirm (crashes_t *crashes, const crash_filter_t *filter)
{
  broken_attempt_t *broken = STAILQ_FIRST (&crashes->broken);
  bool is_update = false;

  while (broken != NULL)
    {
      broken_attempt_t *next = STAILQ_NEXT (broken, link);

      if (broken_attempt_matches (crashes, broken, filter))
        {
          is_update = broken_attempt_confirm (crashes, broken) || is_update;
          broken_attempt_remove (crashes, broken);
        }
      broken = next;
    }
  return is_update;
}

static void
crashes_add_lost_engine (crashes_t *crashes, const char *address)
{
  lost_engine_t *lost = talloc_zero (crashes, lost_engine_t);

  if (lost == NULL)
    return;
  lost->address = talloc_strdup (lost, address);
  lost->lost_at = clock_monotonic (crashes->clock);
  STAILQ_INSERT_TAIL (&crashes->lost, lost, link);
  crashes->lost_count++;
}

/* The pilot beside the engine at ADDRESS has lost it, or connections to it are
   refused.  */
bool
crashes_confirm_address (crashes_t *crashes, const char *address)
{
  crash_filter_t filter
      = { .address = address, .max_age_ms = PILOT_NOTICE_MS };
  bool is_update;

  lock_acquire (crashes->lock);
  crashes_expire (crashes);
  is_update = crashes_confirm (crashes, &filter);
  crashes_add_lost_engine (crashes, address);
  lock_release (crashes->lock);
  return is_update;
}

/* The upstreams of the attempts that FILTER selects have crashed.  */
static bool
crashes_confirm_listing (crashes_t *crashes, const crash_filter_t *filter)
{
  bool is_update;

  lock_acquire (crashes->lock);
  crashes_expire (crashes);
  is_update = crashes_confirm (crashes, filter);
  lock_release (crashes->lock);
  return is_update;
}

/* UPSTREAM is no longer listed.  */
bool
crashes_confirm_gone (crashes_t *crashes, const char *upstream)
{
  crash_filter_t filter
      = { .upstream = upstream, .max_age_ms = LISTING_NOTICE_MS };

  return crashes_confirm_listing (crashes, &filter);
}

/* The upstream INCARNATION is listed at ADDRESS, so that any other there has
   ended.  */
bool
crashes_confirm_start (crashes_t *crashes, const char *address,
                       uint64_t incarnation)
{
  crash_filter_t filter = { .address = address,
                            .next_incarnation = incarnation,
                            .max_age_ms = LISTING_NOTICE_MS };

  return crashes_confirm_listing (crashes, &filter);
}

/* The upstream at ADDRESS was alive after its connections had broken at SINCE
   or before: what broke them was no crash.  */
void
crashes_refute (crashes_t *crashes, const char *address, struct timespec since)
{
  broken_attempt_t *broken;

  lock_acquire (crashes->lock);
  broken = STAILQ_FIRST (&crashes->broken);
  while (broken != NULL)
    {
      broken_attempt_t *next = STAILQ_NEXT (broken, link);

      if (strcmp (broken->address, address) == 0
          && timespec_compare (broken->evidence.at, since) <= 0)
        broken_attempt_remove (crashes, broken);
      broken = next;
    }
  lock_release (crashes->lock);
}
