#ifndef SISKIN_TESTS_SWITCHER_FIXTURE_H
#define SISKIN_TESTS_SWITCHER_FIXTURE_H

#include "pilot/finished_command.h"
#include "pilot/switcher.h"
#include "simulated_engine.h"

#include <sys/queue.h>

/* Simulates successive leaders, a network that loses and delays messages, and
   engines that execute commands late, on a virtual clock.  */

enum
{
  SWITCHER_FIXTURE_RANKS = 4,
  SWITCHER_FIXTURE_LEADERS = 6,
  SWITCHER_FIXTURE_STEP_MS = 40,
  SWITCHER_FIXTURE_SLOW_ANSWER_MS = 400, /* of a slow rank */
  SWITCHER_FIXTURE_TERM_MS = 5000, /* between the starts of two leaders */
  /* Age of the reports of a rank without a pilot.  */
  SWITCHER_FIXTURE_REPORT_LAG_MS = 1000
};

typedef struct switcher_fixture_message switcher_fixture_message_t;
typedef struct switcher_fixture switcher_fixture_t;

typedef struct switcher_fixture_leader
{
  switcher_fixture_t *fixture;
  unsigned number;
  switcher_t *switcher; /* NULL before its term */
  bool is_paused;
  finished_command_t
      finished[SWITCHER_FIXTURE_RANKS]; /* as known to the rank's pilot */
  unsigned recovered;
  unsigned switched;
  /* The highest step that it has released, and under which fence.  */
  uint64_t released_step;
  uint64_t released_fence;
} switcher_fixture_leader_t;

struct switcher_fixture
{
  int64_t now_ms;
  uint64_t random_state;
  unsigned fault_percent;
  simulated_group_t group;
  simulated_engine_t engines[SWITCHER_FIXTURE_RANKS];
  switcher_fixture_leader_t leaders[SWITCHER_FIXTURE_LEADERS];
  uint64_t latest_term[SWITCHER_FIXTURE_RANKS]; /* by rank: latest term of its
                                                   pilot */
  uint64_t granted_version[SWITCHER_FIXTURE_RANKS]; /* by rank: the last
                                      version that its pilot permitted */
  TAILQ_HEAD (, switcher_fixture_message) messages;
  unsigned mixed_steps;
  unsigned early_switches; /* whose map was prepared without all ranks */
  bool moves_switches;     /* to an earlier step, at random */
  unsigned advanced_switches;
  bool waits_for_all; /* no map is prepared without all ranks */
  /* Each leader reads the reports of one rank from another machine, so that
     they are up to SWITCHER_FIXTURE_REPORT_LAG_MS old.  */
  bool has_old_reports;
  bool has_slow_rank;    /* one rank answers each command after its timeout */
  bool is_idle;          /* the group takes no steps */
  unsigned reused_steps; /* holds of a step that had been released */
  bool loses_arm_commands; /* those to one more rank get no reply */
  bool ignores_report_age; /* simulates a leader that takes them for new */
  rank_report_t past_reports[SWITCHER_FIXTURE_RANKS]
                            [SWITCHER_FIXTURE_REPORT_LAG_MS]; /* by time */
};

/* Creates a group in which FAULT_PERCENT of the messages meet a fault.  */
switcher_fixture_t *switcher_fixture_create (uint64_t seed,
                                             unsigned fault_percent);
void switcher_fixture_destroy (switcher_fixture_t *fixture);
/* Lets time pass until UNTIL_MS.  */
void switcher_fixture_run (switcher_fixture_t *fixture, int64_t until_ms);

#endif
