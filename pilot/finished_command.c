#include "pilot/finished_command.h"

#include "kernel/clock.h"

enum
{
  /* The rules name a typical lag; a single report may be older.  */
  LAG_FACTOR = 2,
  UNNAMED_LAG_MS = 1000
};

/* Returns the longest time by which the values of a report can be older than
   the request for it.  */
struct timespec
report_lag_limit (struct timespec named)
{
  if (timespec_to_ms (named) <= 0)
    return timespec_from_ms (UNNAMED_LAG_MS);
  return timespec_from_ms (LAG_FACTOR * timespec_to_ms (named));
}

/* Returns the ticket of COMMAND if a report requested at NOW, with values up
   to LAG older, certainly shows its effect, otherwise 0.  */
uint64_t
finished_command_shown (const finished_command_t *command, struct timespec now,
                        struct timespec lag)
{
  struct timespec shown_at = timespec_add (command->at, lag);

  return timespec_compare (shown_at, now) <= 0 ? command->ticket : 0;
}
