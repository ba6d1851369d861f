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
                            "[[account]]\nname = \"salon\"\n"
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

typedef struct bench
{
  clock_source_t *clock;
  gate_t *gate;
  uint64_t revision;
} bench_t;

static void
bench_configure (bench_t *bench, bool is_zone_out)
{
  settings_parts_t *parts = settings_parts_create (bench);
  findings_t *findings = findings_create (bench);
  schema_string_t zone = { .text = "a" };
  settings_t *settings;

  parts->revision = ++bench->revision;
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
  assert_int_equal (gate_configure (bench->gate, settings), STATUS_OK);
  settings_release (settings);
  talloc_free (findings);
}

static int
bench_set_up (void **state)
{
  bench_t *bench = talloc_zero (NULL, bench_t);

  invariant_set_fatal (true);
  bench->clock = clock_create_virtual (bench, timespec_from_ms (10000));
  bench->gate = gate_create (bench, "up", "a", bench->clock);
  bench_configure (bench, false);
  *state = bench;
  return 0;
}

static int
bench_tear_down (void **state)
{
  return talloc_free (*state);
}

static gate_work_t
work_of (const bench_t *bench, uint64_t tokens, int64_t patience_ms)
{
  gate_work_t work
      = { .item = { .account = "salon", .share = 1, .tokens = tokens } };

  work.item.deadline = timespec_add (clock_monotonic (bench->clock),
                                     timespec_from_ms (patience_ms));
  return work;
}

static gate_verdict_t
bench_offer (bench_t *bench, gate_work_t *work, refusal_t *refusal)
{
  gate_refusal_t reason = { REFUSAL_NONE, 0 };
  gate_work_list_t dropped = STAILQ_HEAD_INITIALIZER (dropped);
  gate_verdict_t verdict = gate_offer (bench->gate, work, &reason, &dropped);

  assert_true (STAILQ_EMPTY (&dropped));
  if (refusal != NULL)
    *refusal = reason.refusal;
  return verdict;
}

static unsigned
bench_take (bench_t *bench, unsigned *expired_count)
{
  gate_work_list_t started = STAILQ_HEAD_INITIALIZER (started);
  gate_work_list_t expired = STAILQ_HEAD_INITIALIZER (expired);
  gate_work_t *work;
  unsigned count = 0;

  *expired_count = 0;
  gate_dequeue_ready (bench->gate, &started, &expired);
  STAILQ_FOREACH (work, &started, link)
    count++;
  STAILQ_FOREACH (work, &expired, link)
    (*expired_count)++;
  return count;
}

static void
bench_pass_ms (bench_t *bench, int64_t ms)
{
  clock_advance (bench->clock, timespec_from_ms (ms));
  gate_check_timeouts (bench->gate);
}

static uint64_t
bench_outstanding (bench_t *bench)
{
  gate_load_t load;

  gate_load (bench->gate, &load);
  return load.outstanding_requests;
}

static void
test_cold_upstream_gets_what_it_bears (void **state)
{
  bench_t *bench = *state;
  gate_work_t work[6];
  refusal_t refusal;
  unsigned expired;

  for (unsigned i = 0; i < 6; i++)
    work[i] = work_of (bench, 100, 5000);
  assert_int_equal (bench_offer (bench, &work[0], NULL), GATE_START);
  assert_int_equal (bench_offer (bench, &work[1], NULL), GATE_START);
  for (unsigned i = 2; i < 5; i++)
    assert_int_equal (bench_offer (bench, &work[i], NULL), GATE_QUEUED);
  assert_int_equal (bench_offer (bench, &work[5], &refusal), GATE_REFUSED);
  assert_int_equal (refusal, REFUSAL_COLD);
  gate_finish (bench->gate, &work[0], NULL);
  assert_int_equal (bench_take (bench, &expired), 1);
  assert_int_equal (bench_outstanding (bench), 2);
}

static void
test_tokens_are_limited_too (void **state)
{
  bench_t *bench = *state;
  gate_work_t first = work_of (bench, 700, 5000);
  gate_work_t second = work_of (bench, 400, 5000);
  gate_work_t large = work_of (bench, 3000, 5000);
  unsigned expired;

  assert_int_equal (bench_offer (bench, &first, NULL), GATE_START);
  assert_int_equal (bench_offer (bench, &second, NULL), GATE_QUEUED);
  assert_int_equal (bench_offer (bench, &large, NULL), GATE_QUEUED);
  gate_finish (bench->gate, &first, NULL);
  assert_int_equal (bench_take (bench, &expired), 1);
  gate_finish (bench->gate, &second, NULL);
  assert_int_equal (bench_take (bench, &expired), 1);
}

static void
test_broken_off_work_keeps_its_place (void **state)
{
  bench_t *bench = *state;
  gate_work_t work[4];
  admission_report_t report = { .has_running = true, .running = 2 };
  unsigned expired;

  for (unsigned i = 0; i < 4; i++)
    work[i] = work_of (bench, 100, 60000);
  for (unsigned i = 0; i < 4; i++)
    bench_offer (bench, &work[i], NULL);
  gate_abort (bench->gate, &work[0]);
  gate_abort (bench->gate, &work[1]);
  assert_int_equal (bench_take (bench, &expired), 0);
  bench_pass_ms (bench, 100);
  gate_note_report (bench->gate, &report, clock_monotonic (bench->clock));
  assert_int_equal (bench_take (bench, &expired), 0);
  report.running = 1;
  gate_note_report (bench->gate, &report, clock_monotonic (bench->clock));
  assert_int_equal (bench_take (bench, &expired), 1);
  bench_pass_ms (bench, 2000);
  assert_int_equal (bench_take (bench, &expired), 1);
  assert_int_equal (bench_outstanding (bench), 2);
}

/* A report asked for before the break-off shows nothing.  */
static void
test_lagging_report_frees_no_place (void **state)
{
  bench_t *bench = *state;
  gate_work_t work = work_of (bench, 100, 60000);
  admission_report_t report = { .has_running = true, .running = 0 };
  struct timespec asked_at = clock_monotonic (bench->clock);

  bench_offer (bench, &work, NULL);
  bench_pass_ms (bench, 10);
  gate_abort (bench->gate, &work);
  gate_note_report (bench->gate, &report, asked_at);
  assert_int_equal (bench_outstanding (bench), 1);
}

static void
bench_warm_up (bench_t *bench)
{
  gate_load_t load;

  for (unsigned i = 0; i < 400; i++)
    {
      gate_work_t work[8];
      admission_sample_t sample = { .tokens = 100,
                                    .first_token = timespec_from_ms (50),
                                    .duration = timespec_from_ms (100),
                                    .is_success = true };

      gate_load (bench->gate, &load);
      for (unsigned j = 0; j < load.limit.requests; j++)
        {
          work[j] = work_of (bench, 100, 60000);
          assert_int_equal (bench_offer (bench, &work[j], NULL), GATE_START);
          gate_note_first_byte (bench->gate, &work[j]);
        }
      bench_pass_ms (bench, 100);
      for (unsigned j = 0; j < load.limit.requests; j++)
        gate_finish (bench->gate, &work[j], &sample);
    }
  gate_load (bench->gate, &load);
  assert_int_equal (load.limit.requests, 8);
}

/* The limit falls below what runs already; nothing starts until that has come
   down.  */
static void
test_limit_falls_under_running_work (void **state)
{
  bench_t *bench = *state;
  gate_work_t work[9];
  unsigned expired;

  bench_warm_up (bench);
  for (unsigned i = 0; i < 9; i++)
    {
      work[i] = work_of (bench, 100, 60000);
      bench_offer (bench, &work[i], NULL);
    }
  assert_int_equal (bench_outstanding (bench), 8);
  gate_note_cold (bench->gate, "test");
  for (unsigned i = 0; i < 6; i++)
    {
      gate_finish (bench->gate, &work[i], NULL);
      assert_int_equal (bench_take (bench, &expired), 0);
    }
  gate_finish (bench->gate, &work[6], NULL);
  assert_int_equal (bench_take (bench, &expired), 1);
}

/* A first byte that is overdue is a sign of cold before the answer ends.  */
static void
test_overdue_first_byte_is_cold (void **state)
{
  bench_t *bench = *state;
  gate_work_t work;
  gate_load_t load;

  bench_warm_up (bench);
  work = work_of (bench, 100, 60000);
  bench_offer (bench, &work, NULL);
  bench_pass_ms (bench, 900);
  gate_load (bench->gate, &load);
  assert_int_equal (load.limit.requests, 8);
  bench_pass_ms (bench, 200);
  gate_load (bench->gate, &load);
  assert_int_equal (load.limit.requests, 2);
}

static void
test_what_cannot_finish_is_shed (void **state)
{
  bench_t *bench = *state;
  gate_work_t late = work_of (bench, 100, 10);
  gate_work_t timely = work_of (bench, 100, 200);
  refusal_t refusal;

  assert_int_equal (bench_offer (bench, &late, NULL), GATE_START);
  gate_finish (bench->gate, &late, NULL);
  bench_warm_up (bench);
  late = work_of (bench, 100, 10);
  assert_int_equal (bench_offer (bench, &late, &refusal), GATE_REFUSED);
  assert_int_equal (refusal, REFUSAL_DEADLINE);
  timely = work_of (bench, 100, 200);
  assert_int_equal (bench_offer (bench, &timely, NULL), GATE_START);
  bench_pass_ms (bench, 11000);
  late = work_of (bench, 100, 10);
  assert_int_equal (bench_offer (bench, &late, &refusal), GATE_START);
}

static void
test_closed_gate_hands_work_back (void **state)
{
  bench_t *bench = *state;
  gate_work_t work[3];
  refusal_t refusal;
  unsigned expired;

  for (unsigned i = 0; i < 3; i++)
    work[i] = work_of (bench, 900, 60000);
  assert_int_equal (bench_offer (bench, &work[0], NULL), GATE_START);
  assert_int_equal (bench_offer (bench, &work[1], NULL), GATE_QUEUED);
  bench_configure (bench, true);
  assert_int_equal (bench_take (bench, &expired), 0);
  assert_int_equal (expired, 1);
  assert_int_equal (bench_offer (bench, &work[2], &refusal), GATE_REFUSED);
  assert_int_equal (refusal, REFUSAL_ZONE_OUT);
  bench_configure (bench, false);
  assert_int_equal (bench_offer (bench, &work[2], NULL), GATE_QUEUED);
  gate_set_leaving (bench->gate);
  assert_int_equal (bench_take (bench, &expired), 0);
  assert_int_equal (expired, 1);
}

static void
test_isolation_needs_both_silences (void **state)
{
  const struct
  {
    gate_contact_t contact;
    bool is_isolated;
  } cases[] = {
    { { 4001, true, 2501 }, true },
    { { 4000, true, 60000 }, false },  /* the store is heard */
    { { 60000, true, 2500 }, false },  /* other zones are heard */
    { { 60000, false, 60000 }, false } /* there are none */
  };

  (void)state;
  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    assert_int_equal (gate_is_isolated (&cases[i].contact),
                      cases[i].is_isolated);
}

static void
test_isolated_gate_refuses (void **state)
{
  bench_t *bench = *state;
  gate_contact_t alone = { 5000, true, 5000 };
  gate_contact_t touch = { 5000, true, 100 };
  gate_work_t work = work_of (bench, 100, 60000);
  refusal_t refusal;

  gate_note_contact (bench->gate, &alone);
  assert_int_equal (bench_offer (bench, &work, &refusal), GATE_REFUSED);
  assert_int_equal (refusal, REFUSAL_ISOLATED);
  gate_note_contact (bench->gate, &touch);
  assert_int_equal (bench_offer (bench, &work, NULL), GATE_START);
}

static void
test_load_goes_out_as_bytes_permit (void **state)
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
test_probe_report_is_read (void **state)
{
  static const char text[]
      = "{\"incarnation\":\"i7\",\"is_cold\":true,\"running\":3}";
  TALLOC_CTX *memory = talloc_new (NULL);
  upstream_report_t report;

  (void)state;
  assert_true (upstream_report_parse (memory, text, strlen (text), &report));
  assert_string_equal (report.incarnation, "i7");
  assert_true (report.is_cold);
  assert_int_equal (report.running, 3);
  assert_true (upstream_report_parse (memory, "{}", 2, &report));
  assert_false (report.has_running);
  assert_false (upstream_report_parse (memory, "nothing", 7, &report));
  talloc_free (memory);
}

#define GATE_TEST(function)                                                   \
  cmocka_unit_test_setup_teardown (function, bench_set_up, bench_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    GATE_TEST (test_cold_upstream_gets_what_it_bears),
    GATE_TEST (test_tokens_are_limited_too),
    GATE_TEST (test_broken_off_work_keeps_its_place),
    GATE_TEST (test_lagging_report_frees_no_place),
    GATE_TEST (test_limit_falls_under_running_work),
    GATE_TEST (test_overdue_first_byte_is_cold),
    GATE_TEST (test_what_cannot_finish_is_shed),
    GATE_TEST (test_closed_gate_hands_work_back),
    cmocka_unit_test (test_isolation_needs_both_silences),
    GATE_TEST (test_isolated_gate_refuses),
    cmocka_unit_test (test_load_goes_out_as_bytes_permit),
    cmocka_unit_test (test_probe_report_is_read),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
