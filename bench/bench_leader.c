/* Measures the processor time of a leader's work for groups of 12 and 64
   ranks: a plan after the popularity of experts has shifted, encoding its map,
   reading the counts of all ranks once, and a round of commands to all ranks
   with their answers.  Usage: bench-leader [SHIFTS].

   The ranks of a group wait for its leader while it works, on a small share of
   a core.  */

#include "common/numbers.h"
#include "kernel/clock.h"
#include "pilot/rank_codec.h"
#include "tests/planner_fixture.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  DEFAULT_SHIFTS = 20,
  EXPERTS_PER_RANK = 4,
  STAGES = 3, /* plans after each shift */
  US_PER_MS = 1000
};

/* Processor time by kind of work, in microseconds.  */
typedef struct cost
{
  int64_t plan_us;
  int64_t longest_plan_us;
  int64_t encode_us;
  int64_t counts_us;
  int64_t commands_us;
  unsigned plans;
  unsigned changes;
} cost_t;

static int64_t
processor_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return timespec_to_us (now);
}

/* Reads the counts of all ranks.  */
static int64_t
measure_counts (planner_fixture_t *group)
{
  TALLOC_CTX *scratch = talloc_new (group);
  blob_t encoded = numbers_encode (
      scratch, group->counts, (size_t)PLANNER_FIXTURE_LAYERS * group->experts);
  int64_t began_us = processor_us ();

  for (unsigned rank = 0; rank < group->ranks; rank++)
    {
      rank_reply_t reply = { 0 };

      reply.numbers = numbers_decode (scratch, encoded, &reply.number_count);
      planner_add_counts (group->planner, &reply);
    }
  began_us = processor_us () - began_us;
  talloc_free (scratch);
  return began_us;
}

static int64_t
measure_encoding (const planner_fixture_t *group, const placement_map_t *map,
                  blob_t *changes)
{
  int64_t began_us = processor_us ();

  rank_map_encode (map->slots, map);
  *changes = rank_map_encode_changes (map->slots, planner_map (group->planner),
                                      map);
  return processor_us () - began_us;
}

/* Sends the map CHANGES to all ranks and reads an answer and a report of each,
   without the network.  */
static int64_t
measure_commands (const planner_fixture_t *group, blob_t changes)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  rank_command_t command = { .kind = RANK_COMMAND_PREPARE };
  rank_report_t report = { .group = "group", .rank_count = group->ranks };
  frame_t frame;
  size_t size;
  char *answer;
  int64_t began_us;

  rank_report_to_frame (&report, "127.0.0.1:1", 1, &frame);
  answer = frame_encode (scratch, &frame, &size);
  began_us = processor_us ();
  for (unsigned rank = 0; rank < group->ranks; rank++)
    {
      size_t sent_size;

      rank_command_to_frame (rank, &command, changes, &frame);
      frame_encode (scratch, &frame, &sent_size);
      frame_decode (scratch, answer + FRAME_PREFIX_BYTES,
                    size - FRAME_PREFIX_BYTES, &frame);
    }
  began_us = processor_us () - began_us;
  talloc_free (scratch);
  return began_us;
}

/* Plans once and uses the map.  */
static void
measure_plan (planner_fixture_t *group, uint64_t version, cost_t *cost)
{
  placement_plan_t plan;
  blob_t changes;
  int64_t plan_us;

  cost->counts_us += measure_counts (group);
  plan_us = processor_us ();
  planner_plan (group->planner, group, &plan);
  plan_us = processor_us () - plan_us;
  cost->plan_us += plan_us;
  cost->plans++;
  if (plan_us > cost->longest_plan_us)
    cost->longest_plan_us = plan_us;
  if (!plan.is_change)
    return;
  cost->changes++;
  cost->encode_us += measure_encoding (group, plan.map, &changes);
  cost->commands_us += measure_commands (group, changes);
  planner_fixture_use (group, &plan, version);
  talloc_free (plan.map);
}

static double
mean_ms (int64_t us, unsigned count)
{
  return count == 0 ? 0 : (double)us / count / US_PER_MS;
}

static void
measure_group (unsigned ranks, unsigned shifts)
{
  planner_fixture_t *group
      = planner_fixture_create (ranks, EXPERTS_PER_RANK * ranks);
  cost_t cost = { 0 };
  uint64_t version = 0;

  for (unsigned i = 0; i < shifts; i++)
    {
      planner_fixture_shift (group);
      for (unsigned stage = 0; stage < STAGES; stage++)
        measure_plan (group, ++version, &cost);
    }
  printf ("%5u %7.2f %12.2f %9.2f %9.2f %9.2f\n", ranks,
          mean_ms (cost.plan_us, cost.plans),
          mean_ms (cost.longest_plan_us, 1),
          mean_ms (cost.encode_us, cost.changes),
          mean_ms (cost.counts_us, cost.plans),
          mean_ms (cost.commands_us, cost.changes));
  planner_fixture_destroy (group);
}

int
main (int argc, char **argv)
{
  unsigned shifts
      = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : DEFAULT_SHIFTS;

  printf ("processor time in ms\n"
          "ranks    plan longest plan  encoding    counts  commands\n");
  measure_group (12, shifts);
  measure_group (64, shifts);
  return 0;
}
