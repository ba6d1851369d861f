#include "pilot/work_time.h"

#include "kernel/counter.h"

#include <stdbool.h>

enum
{
  US_PER_MS = 1000
};

static const char time_help[]
    = "Time that the leader of a group spent on its work, in microseconds";

COUNTER_DEFINE_LABELLED (planning_time, "siskin_leader_work_us_total",
                         "kind=\"planning\"", time_help);
COUNTER_DEFINE_LABELLED (encoding_time, "siskin_leader_work_us_total",
                         "kind=\"encoding\"", time_help);
COUNTER_DEFINE_LABELLED (commands_time, "siskin_leader_work_us_total",
                         "kind=\"commands\"", time_help);
COUNTER_DEFINE_LABELLED (reports_time, "siskin_leader_work_us_total",
                         "kind=\"reports\"", time_help);
COUNTER_DEFINE_LABELLED (verdicts_time, "siskin_leader_work_us_total",
                         "kind=\"verdicts\"", time_help);
COUNTER_DEFINE_LABELLED (counts_time, "siskin_leader_work_us_total",
                         "kind=\"counts\"", time_help);

typedef struct work_class
{
  const char *name;
  counter_t *total;
} work_class_t;

static const work_class_t classes[WORK_KIND_COUNT] = {
  [WORK_PLANNING] = { "planning", &planning_time },
  [WORK_ENCODING] = { "encoding", &encoding_time },
  [WORK_COMMANDS] = { "commands", &commands_time },
  [WORK_REPORTS] = { "reports", &reports_time },
  [WORK_VERDICTS] = { "verdicts", &verdicts_time },
  [WORK_COUNTS] = { "counts", &counts_time },
};

typedef struct work_sum
{
  int64_t total_us;
  int64_t longest_us;
} work_sum_t;

struct work_time
{
  const clock_source_t *clock;
  work_sum_t sums[WORK_KIND_COUNT];
  work_kind_t kind; /* of the outermost work in progress */
  unsigned depth;   /* work in progress; 0: none */
  struct timespec began_at;
};

/* Creates an empty record.  Returns NULL when memory is exhausted.  */
work_time_t *
work_time_create (TALLOC_CTX *parent, const clock_source_t *clock)
{
  work_time_t *work = talloc_zero (parent, work_time_t);

  if (work != NULL)
    work->clock = clock;
  return work;
}

/* Frees WORK.  */
void
work_time_destroy (work_time_t *work)
{
  talloc_free (work);
}

/* Forgets what was recorded; work in progress goes on.  */
void
work_time_reset (work_time_t *work)
{
  for (unsigned i = 0; i < WORK_KIND_COUNT; i++)
    work->sums[i] = (work_sum_t){ 0 };
}

/* Work of KIND starts, unless it is part of other work.  */
void
work_time_begin (work_time_t *work, work_kind_t kind)
{
  if (work->depth++ > 0)
    return;
  work->kind = kind;
  work->began_at = clock_monotonic (work->clock);
}

/* The work that started last ends.  */
void
work_time_end (work_time_t *work)
{
  work_sum_t *sum = &work->sums[work->kind];
  int64_t duration_us;

  if (--work->depth > 0)
    return;
  duration_us = timespec_to_us (
      timespec_subtract (clock_monotonic (work->clock), work->began_at));
  sum->total_us += duration_us;
  if (duration_us > sum->longest_us)
    sum->longest_us = duration_us;
  counter_add (classes[work->kind].total, duration_us);
}

/* Returns the times as text owned by PARENT.  */
char *
work_time_format (const work_time_t *work, TALLOC_CTX *parent)
{
  char *text = talloc_strdup (parent, "work=");
  bool is_first = true;

  for (unsigned i = 0; i < WORK_KIND_COUNT; i++)
    {
      const work_sum_t *sum = &work->sums[i];

      if (sum->total_us < US_PER_MS)
        continue;
      text = talloc_asprintf_append_buffer (
          text, "%s%s:%lld/%lld", is_first ? "" : ",", classes[i].name,
          (long long)(sum->total_us / US_PER_MS),
          (long long)(sum->longest_us / US_PER_MS));
      is_first = false;
    }
  return text;
}
