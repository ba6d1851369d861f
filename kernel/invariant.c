#include "kernel/invariant.h"

#include "kernel/counter.h"
#include "kernel/log.h"

#include <stdio.h>
#include <stdlib.h>

COUNTER_DEFINE (violations, "siskin_invariant_violations_total",
                "Invariants found violated");

static bool is_fatal_mode;

/* Report that the invariant NAME does not hold at FILE:LINE.  */
void
invariant_violated (const char *name, const char *file, int line)
{
  counter_add (&violations, 1);
  log_event (LOG_LEVEL_ERROR, "invariant-violated", "name=%s place=%s:%d",
             name, file, line);
  if (!is_fatal_mode)
    return;
  fprintf (stderr, "invariant violated: %s at %s:%d\n", name, file, line);
  abort ();
}

/* Choose whether a violation aborts the program.  Call before threads
   start.  */
void
invariant_set_fatal (bool is_fatal)
{
  is_fatal_mode = is_fatal;
}

/* Return how many violations were counted in this process.  */
int64_t
invariant_violations (void)
{
  return counter_value (&violations);
}
