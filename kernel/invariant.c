#include "kernel/invariant.h"

#include "kernel/counter.h"
#include "kernel/log.h"

#include <stdio.h>
#include <stdlib.h>

COUNTER_DEFINE (violations, "siskin_invariant_violations_total",
                "Invariants found violated");

static bool is_violation_fatal;

/* Report that the invariant NAME was found violated at FILE:LINE.  Aborts when
   violations are fatal.  */
void
invariant_violated (const char *name, const char *file, int line)
{
  counter_add (&violations, 1);
  log_event (LOG_LEVEL_ERROR, "invariant-violated", "name=%s location=%s:%d",
             name, file, line);
  if (!is_violation_fatal)
    return;
  fprintf (stderr, "invariant violated: %s at %s:%d\n", name, file, line);
  abort ();
}

/* Set whether a violation aborts the program.  Must be called before threads
   are started.  */
void
invariant_set_fatal (bool is_fatal)
{
  is_violation_fatal = is_fatal;
}

/* Return the number of violations found in this process.  */
int64_t
invariant_violations (void)
{
  return counter_value (&violations);
}
