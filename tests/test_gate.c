/* The gate before an upstream: work that its limit does not allow must wait or
   be refused, also while reports are old, work is aborted or the store is
   away.  */

#include "agent/gate.h"
#include "agent/peer.h"
#include "kernel/invariant.h"
#include "plugins/upstream/report.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static const char rules[] = "[site]\nname = \"test\"\n"
                            "[[zone]]\nname = \"a\"\nregion = \"r\"\n"
                            "[[zone]]\nname = \"b\"\nregion = \"r\"\n"
                            "[[account]]\nname = \"account-a\"\n"
                            "[[service]]\nname = \"style\"\nkind = \"model\"\n"
                            "path = \"/v1/\"\nmodels = [\"m\"]\n"
                            "[admission]\npolicy = \"slow-start\"\n"
                            "order = \"fifo\"\ncold_requests = 2\n"
                            "cold_tokens = 1000\nmaximum_requests = 8\n"
                            "maximum_tokens = 8000\nqueue_requests = 3\n"
                            "slow_first_token = \"1 s\"\n";
static const char inventory[]
    = "name,address,zone,kind,service,model,group,rank\n"
      "up,127.0.0.1:1,a,model,style,m,,\n";

typedef struct fixture
{
  clock_source_t *clock;
  gate_t *gate;
  uint64_t revision;
} fixture_t;

static void
fixture_configure (fixture_t *fixture, bool is_zone_out)
{
  settings_parts_t *parts = settings_parts_create (fixture);
  findings_t *findings = findings_create (fixture);
  schema_string_t zone = { .text = "a" };
  settings_t *settings;

  parts->revision = ++fixture->revision;
  parts->change_id = parts->changed_by = parts->changed_why = "test";
  parts->changed_at = "2026-03-01T12:00:00Z";
  parts->rules = rules;
  parts->inventory = inventory;
  if (is_zone_out)
    STAILQ_INSERT_TAIL (&parts->zones_out, &zone, link);
  settings = settings_from_parts (parts, "rules", "inventory", findings);
  if (settings == NULL)
    findings_print (findings, stderr);
  assert_non_null (settings);
  assert_int_equal (gate_configure (fixture->gate, settings), STATUS_OK);
  settings_release (settings);
  talloc_free (findings);
}

static int
fixture_set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  invariant_set_fatal (true);
  fixture->clock = clock_create_virtual (fixture, timespec_from_ms (10000));
  fixture->gate = gate_create (fixture, "up", "a", fixture->clock);
  fixture_configure (fixture, false);
  *state = fixture;
  return 0;
}

static int
fixture_tear_down (void **state)
{
  return talloc_free (*state);
}

static gate_work_t
create_work (const fixture_t *fixture, uint64_t tokens, int64_t time_left_ms)
{
  gate_work_t work
      = { .item = { .account = "account-a", .share = 1, .tokens = tokens } };

  work.item.deadline = timespec_add (clock_monotonic (fixture->clock),
                                     timespec_from_ms (time_left_ms));
  return work;
}

static gate_verdict_t
fixture_offer (fixture_t *fixture, gate_work_t *work, refusal_t *refusal)
{
  gate_refusal_t reason = { REFUSAL_NONE, 0 };
  gate_work_list_t evicted = STAILQ_HEAD_INITIALIZER (evicted);
  gate_verdict_t verdict = gate_offer (fixture->gate, work, &reason, &evicted);

  assert_true (STAILQ_EMPTY (&evicted));
  if (refusal != NULL)
    *refusal = reason.refusal;
  return verdict;
}

static unsigned
fixture_dequeue_ready (fixture_t *fixture, unsigned *refused_count)
{
  gate_work_list_t started = STAILQ_HEAD_INITIALIZER (started);
  gate_work_list_t refused = STAILQ_HEAD_INITIALIZER (refused);
  gate_work_t *work;
  unsigned count = 0;

  *refused_count = 0;
  gate_dequeue_ready (fixture->gate, &started, &refused);
  STAILQ_FOREACH (work, &started, link)
    count++;
  STAILQ_FOREACH (work, &refused, link)
    (*refused_count)++;
  return count;
}

static void
fixture_advance_ms (fixture_t *fixture, int64_t ms)
{
  clock_advance (fixture->clock, timespec_from_ms (ms));
  gate_check_timeouts (fixture->gate);
}

static uint64_t
fixture_outstanding (fixture_t *fixture)
{
  gate_load_t load;

  gate_load (fixture->gate, &load);
  return load.outstanding_requests;
}

static void
test_cold_upstream_gets_cold_limit (void **state)
{
  fixture_t *fixture = *state;
  gate_work_t work[6];
  refusal_t refusal;
  unsigned refused;

  for (unsigned i = 0; i < 6; i++)
    work[i] = create_work (fixture, 100, 5000);
  assert_int_equal (fixture_offer (fixture, &work[0], NULL), GATE_START);
  assert_int_equal (fixture_offer (fixture, &work[1], NULL), GATE_START);
  for (unsigned i = 2; i < 5; i++)
    assert_int_equal (fixture_offer (fixture, &work[i], NULL), GATE_QUEUED);
  assert_int_equal (fixture_offer (fixture, &work[5], &refusal), GATE_REFUSED);
  assert_int_equal (refusal, REFUSAL_COLD);
  gate_finish (fixture->gate, &work[0], NULL);
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 1);
  assert_int_equal (fixture_outstanding (fixture), 2);
}

static void
test_tokens_are_limited_too (void **state)
{
  fixture_t *fixture = *state;
  gate_work_t first = create_work (fixture, 700, 5000);
  gate_work_t second = create_work (fixture, 400, 5000);
  gate_work_t large = create_work (fixture, 3000, 5000);
  unsigned refused;

  assert_int_equal (fixture_offer (fixture, &first, NULL), GATE_START);
  assert_int_equal (fixture_offer (fixture, &second, NULL), GATE_QUEUED);
  assert_int_equal (fixture_offer (fixture, &large, NULL), GATE_QUEUED);
  gate_finish (fixture->gate, &first, NULL);
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 1);
  gate_finish (fixture->gate, &second, NULL);
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 1);
}

static void
test_aborted_work_keeps_its_slot (void **state)
{
  fixture_t *fixture = *state;
  gate_work_t work[4];
  admission_report_t report = { .has_running = true, .running = 2 };
  unsigned refused;

  for (unsigned i = 0; i < 4; i++)
    work[i] = create_work (fixture, 100, 60000);
  for (unsigned i = 0; i < 4; i++)
    fixture_offer (fixture, &work[i], NULL);
  gate_abort (fixture->gate, &work[0]);
  gate_abort (fixture->gate, &work[1]);
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 0);
  fixture_advance_ms (fixture, 100);
  gate_apply_report (fixture->gate, &report, clock_monotonic (fixture->clock));
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 0);
  report.running = 1;
  gate_apply_report (fixture->gate, &report, clock_monotonic (fixture->clock));
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 1);
  fixture_advance_ms (fixture, 2000);
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 1);
  assert_int_equal (fixture_outstanding (fixture), 2);
}

/* A report that was requested before the work was aborted must not release its
   slot.  */
static void
test_old_report_frees_no_slot (void **state)
{
  fixture_t *fixture = *state;
  gate_work_t work = create_work (fixture, 100, 60000);
  admission_report_t report = { .has_running = true, .running = 0 };
  struct timespec requested_at = clock_monotonic (fixture->clock);

  fixture_offer (fixture, &work, NULL);
  fixture_advance_ms (fixture, 10);
  gate_abort (fixture->gate, &work);
  gate_apply_report (fixture->gate, &report, requested_at);
  assert_int_equal (fixture_outstanding (fixture), 1);
}

static void
fixture_warm_up (fixture_t *fixture)
{
  gate_load_t load;

  for (unsigned i = 0; i < 400; i++)
    {
      gate_work_t work[8];
      admission_sample_t sample = { .tokens = 100,
                                    .first_token = timespec_from_ms (50),
                                    .duration = timespec_from_ms (100),
                                    .is_success = true };

      gate_load (fixture->gate, &load);
      for (unsigned j = 0; j < load.limit.requests; j++)
        {
          work[j] = create_work (fixture, 100, 60000);
          assert_int_equal (fixture_offer (fixture, &work[j], NULL),
                            GATE_START);
          gate_record_first_byte (fixture->gate, &work[j]);
        }
      fixture_advance_ms (fixture, 100);
      for (unsigned j = 0; j < load.limit.requests; j++)
        gate_finish (fixture->gate, &work[j], &sample);
    }
  gate_load (fixture->gate, &load);
  assert_int_equal (load.limit.requests, 8);
}

/* When the limit falls below the running work, nothing may start until enough
   of it has ended.  */
static void
test_limit_falls_under_running_work (void **state)
{
  fixture_t *fixture = *state;
  gate_work_t work[9];
  unsigned refused;

  fixture_warm_up (fixture);
  for (unsigned i = 0; i < 9; i++)
    {
      work[i] = create_work (fixture, 100, 60000);
      fixture_offer (fixture, &work[i], NULL);
    }
  assert_int_equal (fixture_outstanding (fixture), 8);
  gate_record_cold_start (fixture->gate, "test");
  for (unsigned i = 0; i < 6; i++)
    {
      gate_finish (fixture->gate, &work[i], NULL);
      assert_int_equal (fixture_dequeue_ready (fixture, &refused), 0);
    }
  gate_finish (fixture->gate, &work[6], NULL);
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 1);
}

/* An overdue first byte must lower the limit before the response ends.  */
static void
test_overdue_first_byte_is_cold (void **state)
{
  fixture_t *fixture = *state;
  gate_work_t work;
  gate_load_t load;

  fixture_warm_up (fixture);
  work = create_work (fixture, 100, 60000);
  fixture_offer (fixture, &work, NULL);
  fixture_advance_ms (fixture, 900);
  gate_load (fixture->gate, &load);
  assert_int_equal (load.limit.requests, 8);
  fixture_advance_ms (fixture, 200);
  gate_load (fixture->gate, &load);
  assert_int_equal (load.limit.requests, 2);
}

static void
test_work_that_misses_its_deadline_is_refused (void **state)
{
  fixture_t *fixture = *state;
  gate_work_t late = create_work (fixture, 100, 10);
  gate_work_t timely = create_work (fixture, 100, 200);
  refusal_t refusal;

  assert_int_equal (fixture_offer (fixture, &late, NULL), GATE_START);
  gate_finish (fixture->gate, &late, NULL);
  fixture_warm_up (fixture);
  late = create_work (fixture, 100, 10);
  assert_int_equal (fixture_offer (fixture, &late, &refusal), GATE_REFUSED);
  assert_int_equal (refusal, REFUSAL_DEADLINE);
  timely = create_work (fixture, 100, 200);
  assert_int_equal (fixture_offer (fixture, &timely, NULL), GATE_START);
  fixture_advance_ms (fixture, 11000);
  late = create_work (fixture, 100, 10);
  assert_int_equal (fixture_offer (fixture, &late, &refusal), GATE_START);
}

static void
test_closed_gate_refuses_queued_work (void **state)
{
  fixture_t *fixture = *state;
  gate_work_t work[3];
  refusal_t refusal;
  unsigned refused;

  for (unsigned i = 0; i < 3; i++)
    work[i] = create_work (fixture, 900, 60000);
  assert_int_equal (fixture_offer (fixture, &work[0], NULL), GATE_START);
  assert_int_equal (fixture_offer (fixture, &work[1], NULL), GATE_QUEUED);
  fixture_configure (fixture, true);
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 0);
  assert_int_equal (refused, 1);
  assert_int_equal (fixture_offer (fixture, &work[2], &refusal), GATE_REFUSED);
  assert_int_equal (refusal, REFUSAL_ZONE_OUT);
  fixture_configure (fixture, false);
  assert_int_equal (fixture_offer (fixture, &work[2], NULL), GATE_QUEUED);
  gate_set_leaving (fixture->gate);
  assert_int_equal (fixture_dequeue_ready (fixture, &refused), 0);
  assert_int_equal (refused, 1);
}

static void
test_isolation_needs_loss_of_store_and_zones (void **state)
{
  const struct
  {
    gate_contact_t contact;
    bool is_isolated;
  } cases[] = {
    { { 4001, true, 2501 }, true },
    { { 4000, true, 60000 }, false },  /* the store is in contact */
    { { 60000, true, 2500 }, false },  /* other zones are in contact */
    { { 60000, false, 60000 }, false } /* there are no other zones */
  };

  (void)state;
  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    assert_int_equal (gate_is_isolated (&cases[i].contact),
                      cases[i].is_isolated);
}

static void
test_isolated_gate_refuses (void **state)
{
  fixture_t *fixture = *state;
  gate_contact_t isolated = { 5000, true, 5000 };
  gate_contact_t connected = { 5000, true, 100 };
  gate_work_t work = create_work (fixture, 100, 60000);
  refusal_t refusal;

  gate_update_contact (fixture->gate, &isolated);
  assert_int_equal (fixture_offer (fixture, &work, &refusal), GATE_REFUSED);
  assert_int_equal (refusal, REFUSAL_ISOLATED);
  gate_update_contact (fixture->gate, &connected);
  assert_int_equal (fixture_offer (fixture, &work, NULL), GATE_START);
}

static void
test_load_reports_are_rate_limited (void **state)
{
  frame_load_t sent = { .outstanding_requests = 4,
                        .limit_requests = 16,
                        .limit_tokens = 65536 };
  frame_load_t load = sent;

  (void)state;
  assert_false (peer_load_is_due (&sent, &load, 60000, 1));
  load.outstanding_requests = 5;
  assert_false (peer_load_is_due (&sent, &load, 60000, 1));
  load.outstanding_requests = 6;
  assert_true (peer_load_is_due (&sent, &load, 200, 1));
  assert_false (peer_load_is_due (&sent, &load, 199, 1));
  assert_false (peer_load_is_due (&sent, &load, 1000, 12));
  assert_true (peer_load_is_due (&sent, &load, 1200, 12));
  load.is_leaving = true;
  assert_true (peer_load_is_due (&sent, &load, 0, 12));
}

static void
test_probe_report_is_parsed (void **state)
{
  static const char text[]
      = "{\"incarnation\":\"i7\",\"is_cold\":true,\"running\":3}";
  TALLOC_CTX *context = talloc_new (NULL);
  upstream_report_t report;

  (void)state;
  assert_true (upstream_report_parse (context, text, strlen (text), &report));
  assert_string_equal (report.incarnation, "i7");
  assert_true (report.is_cold);
  assert_int_equal (report.running, 3);
  assert_true (upstream_report_parse (context, "{}", 2, &report));
  assert_false (report.has_running);
  assert_false (upstream_report_parse (context, "nothing", 7, &report));
  talloc_free (context);
}

#define GATE_TEST(function)                                                   \
  cmocka_unit_test_setup_teardown (function, fixture_set_up, fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    GATE_TEST (test_cold_upstream_gets_cold_limit),
    GATE_TEST (test_tokens_are_limited_too),
    GATE_TEST (test_aborted_work_keeps_its_slot),
    GATE_TEST (test_old_report_frees_no_slot),
    GATE_TEST (test_limit_falls_under_running_work),
    GATE_TEST (test_overdue_first_byte_is_cold),
    GATE_TEST (test_work_that_misses_its_deadline_is_refused),
    GATE_TEST (test_closed_gate_refuses_queued_work),
    cmocka_unit_test (test_isolation_needs_loss_of_store_and_zones),
    GATE_TEST (test_isolated_gate_refuses),
    cmocka_unit_test (test_load_reports_are_rate_limited),
    cmocka_unit_test (test_probe_report_is_parsed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
