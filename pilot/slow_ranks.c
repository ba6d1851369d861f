#include "pilot/slow_ranks.h"

#include "kernel/clock.h"

enum
{
  /* Reports with a higher slowdown until it counts: a single one may be of a
     pass that was interrupted.  */
  RISE_REPORTS = 2,
  /* Time for which the slowdown has to be lower until it counts.  A switch of
     the map takes some tenths of a second, so a rank that alternates faster
     than this keeps its experts away.  */
  RECOVERY_MS = 2000
};

/* A rank with a higher slowdown is slow.  A factor that is as large between
   two slowdowns is a change.  The relays use the same threshold.  */
static const double slow_threshold = 1.25;
/* A slow rank with at most this slowdown is recovering, however little it was
   slow before.  */
static const double recovered_threshold = 1.1;
/* Higher values are taken for this one.  */
static const double max_slowdown = 1000;

/* What is known of a rank.  */
typedef struct rank_pace
{
  double slowdown;       /* to plan with */
  unsigned rise_reports; /* successive ones with a higher slowdown */
  bool is_recovering;    /* the last report had a lower one */
  struct timespec recovering_since;
} rank_pace_t;

struct slow_ranks
{
  unsigned rank_count;
  rank_pace_t *ranks;
};

/* Creates the state for RANK_COUNT ranks, none of them slow.  Returns NULL
   when memory is exhausted.  */
slow_ranks_t *
slow_ranks_create (TALLOC_CTX *parent, unsigned rank_count)
{
  slow_ranks_t *ranks = talloc_zero (parent, slow_ranks_t);

  if (ranks == NULL)
    return NULL;
  ranks->rank_count = rank_count;
  ranks->ranks = talloc_zero_array (ranks, rank_pace_t, rank_count);
  if (ranks->ranks == NULL)
    {
      talloc_free (ranks);
      return NULL;
    }
  for (unsigned i = 0; i < rank_count; i++)
    ranks->ranks[i].slowdown = 1;
  return ranks;
}

/* Frees RANKS.  */
void
slow_ranks_destroy (slow_ranks_t *ranks)
{
  talloc_free (ranks);
}

static bool
is_slow (const rank_pace_t *pace)
{
  return pace->slowdown > slow_threshold;
}

/* Returns SLOWDOWN within the range that is planned with; an engine that
   reports none has its usual speed.  */
static double
limit_slowdown (double slowdown)
{
  if (!(slowdown > 1))
    return 1;
  return slowdown < max_slowdown ? slowdown : max_slowdown;
}

/* Returns whether SLOWDOWN is much higher than the one that is planned
   with.  */
static bool
is_rise (const rank_pace_t *pace, double slowdown)
{
  double reference = is_slow (pace) ? pace->slowdown : 1;

  return slowdown > slow_threshold * reference;
}

/* Returns whether SLOWDOWN of a slow rank is much lower than the one that is
   planned with.  */
static bool
is_fall (const rank_pace_t *pace, double slowdown)
{
  return is_slow (pace)
         && (slowdown < pace->slowdown / slow_threshold
             || slowdown <= recovered_threshold);
}

/* A report had a lower slowdown.  Returns whether that has lasted.  */
static bool
has_recovered (rank_pace_t *pace, struct timespec now)
{
  if (!pace->is_recovering)
    pace->recovering_since = now;
  pace->is_recovering = true;
  return timespec_to_ms (timespec_subtract (now, pace->recovering_since))
         >= RECOVERY_MS;
}

/* Handles the SLOWDOWN in a report of RANK.  */
bool
slow_ranks_handle_report (slow_ranks_t *ranks, unsigned rank, double slowdown,
                          struct timespec now)
{
  rank_pace_t *pace = &ranks->ranks[rank];
  bool is_due = false;

  slowdown = limit_slowdown (slowdown);
  pace->rise_reports = is_rise (pace, slowdown) ? pace->rise_reports + 1 : 0;
  if (!is_fall (pace, slowdown))
    pace->is_recovering = false;
  else
    is_due = has_recovered (pace, now);
  is_due = is_due || pace->rise_reports >= RISE_REPORTS;
  if (is_due)
    pace->rise_reports = pace->is_recovering = 0;
  if (is_due || (!is_slow (pace) && pace->rise_reports == 0))
    pace->slowdown = slowdown;
  return is_due;
}

/* Returns the slowdown of RANK to plan with.  */
double
slow_ranks_slowdown (const slow_ranks_t *ranks, unsigned rank)
{
  return ranks->ranks[rank].slowdown;
}

/* Returns whether RANK is slow.  */
bool
slow_ranks_is_slow (const slow_ranks_t *ranks, unsigned rank)
{
  return is_slow (&ranks->ranks[rank]);
}

/* Returns the number of slow ranks.  */
unsigned
slow_ranks_count (const slow_ranks_t *ranks)
{
  unsigned count = 0;

  for (unsigned i = 0; i < ranks->rank_count; i++)
    count += is_slow (&ranks->ranks[i]);
  return count;
}

/* Returns the highest slowdown of all ranks.  */
double
slow_ranks_highest (const slow_ranks_t *ranks)
{
  double highest = 1;

  for (unsigned i = 0; i < ranks->rank_count; i++)
    {
      if (ranks->ranks[i].slowdown > highest)
        highest = ranks->ranks[i].slowdown;
    }
  return highest;
}
