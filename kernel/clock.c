#include "kernel/clock.h"

#include <sys/time.h>

enum
{
  NS_PER_S = 1000000000,
  NS_PER_MS = 1000000,
  NS_PER_US = 1000,
  MS_PER_S = 1000,
  US_PER_S = 1000000
};

struct clock_source
{
  const clock_ops_t *ops;
  struct timespec now; /* used by virtual clocks only */
};

static struct timespec
system_monotonic (const clock_source_t *clock)
{
  struct timespec now;

  (void)clock;
  /* It goes on while the machine is suspended, unlike CLOCK_MONOTONIC, so that
     leases and deadlines end meanwhile.  */
  clock_gettime (CLOCK_BOOTTIME, &now);
  return now;
}

static struct timespec
system_realtime (const clock_source_t *clock)
{
  struct timespec now;

  (void)clock;
  clock_gettime (CLOCK_REALTIME, &now);
  return now;
}

static struct timespec
virtual_now (const clock_source_t *clock)
{
  return clock->now;
}

static const clock_ops_t system_ops = {
  .monotonic = system_monotonic,
  .realtime = system_realtime,
};

static const clock_ops_t virtual_ops = {
  .monotonic = virtual_now,
  .realtime = virtual_now,
};

static clock_source_t *
clock_create (TALLOC_CTX *parent, const clock_ops_t *ops)
{
  clock_source_t *clock = talloc_zero (parent, clock_source_t);

  if (clock != NULL)
    clock->ops = ops;
  return clock;
}

/* Create a clock that reads the operating system's clocks.  Returns NULL when
   memory is exhausted.  */
clock_source_t *
clock_create_system (TALLOC_CTX *parent)
{
  return clock_create (parent, &system_ops);
}

/* Create a virtual clock: its monotonic and its real time are both START until
   clock_advance moves them.  Returns NULL when memory is exhausted.  */
clock_source_t *
clock_create_virtual (TALLOC_CTX *parent, struct timespec start)
{
  clock_source_t *clock = clock_create (parent, &virtual_ops);

  if (clock != NULL)
    clock->now = start;
  return clock;
}

/* Free CLOCK.  */
void
clock_destroy (clock_source_t *clock)
{
  talloc_free (clock);
}

/* Return the time since an arbitrary starting point; it never decreases.  */
struct timespec
clock_monotonic (const clock_source_t *clock)
{
  return clock->ops->monotonic (clock);
}

/* Return the wall-clock time since the Unix epoch.  */
struct timespec
clock_realtime (const clock_source_t *clock)
{
  return clock->ops->realtime (clock);
}

/* Advance a virtual CLOCK by STEP.  A system clock is not affected.  */
void
clock_advance (clock_source_t *clock, struct timespec step)
{
  clock->now = timespec_add (clock->now, step);
}

/* Return LEFT + RIGHT.  */
struct timespec
timespec_add (struct timespec left, struct timespec right)
{
  struct timespec sum = { .tv_sec = left.tv_sec + right.tv_sec,
                          .tv_nsec = left.tv_nsec + right.tv_nsec };

  if (sum.tv_nsec >= NS_PER_S)
    {
      sum.tv_sec++;
      sum.tv_nsec -= NS_PER_S;
    }
  return sum;
}

/* Return LEFT - RIGHT; tv_sec is negative when RIGHT is later.  */
struct timespec
timespec_subtract (struct timespec left, struct timespec right)
{
  struct timespec difference = { .tv_sec = left.tv_sec - right.tv_sec,
                                 .tv_nsec = left.tv_nsec - right.tv_nsec };

  if (difference.tv_nsec < 0)
    {
      difference.tv_sec--;
      difference.tv_nsec += NS_PER_S;
    }
  return difference;
}

/* Return whether VALUE is zero, the value of a time that was never set.  */
bool
timespec_is_zero (struct timespec value)
{
  return value.tv_sec == 0 && value.tv_nsec == 0;
}

/* Return -1, 0 or 1 when LEFT is before, equal to or after RIGHT.  */
int
timespec_compare (struct timespec left, struct timespec right)
{
  if (left.tv_sec != right.tv_sec)
    return left.tv_sec < right.tv_sec ? -1 : 1;
  if (left.tv_nsec != right.tv_nsec)
    return left.tv_nsec < right.tv_nsec ? -1 : 1;
  return 0;
}

/* Convert MILLISECONDS, which may be negative, to a timespec.  */
struct timespec
timespec_from_ms (int64_t milliseconds)
{
  return timespec_from_us (milliseconds * MS_PER_S);
}

/* Convert VALUE to milliseconds, rounding down.  */
int64_t
timespec_to_ms (struct timespec value)
{
  return (int64_t)value.tv_sec * MS_PER_S + value.tv_nsec / NS_PER_MS;
}

/* Convert MICROSECONDS, which may be negative, to a timespec.  */
struct timespec
timespec_from_us (int64_t microseconds)
{
  int64_t seconds = microseconds / US_PER_S;
  int64_t remainder_us = microseconds % US_PER_S;

  if (remainder_us < 0)
    {
      seconds--;
      remainder_us += US_PER_S;
    }
  return (struct timespec){ .tv_sec = seconds,
                            .tv_nsec = remainder_us * NS_PER_US };
}

/* Convert VALUE to microseconds, rounding down.  */
int64_t
timespec_to_us (struct timespec value)
{
  return (int64_t)value.tv_sec * US_PER_S + value.tv_nsec / NS_PER_US;
}
