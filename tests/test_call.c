/* A call from entry to agent: whatever breaks on the way, the caller must not
   get a response with a gap, a late response of another attempt, or an outcome
   that says more than is known.  */

#include "entry/call.h"
#include "kernel/invariant.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  AGENT_COUNT = 2,
  TEST_TIMEOUT_S = 30,
  SHORT_DEADLINE_MS = 1000,
  LONG_DEADLINE_MS = 20000
};

static const char rules[]
    = "[site]\nname = \"test\"\n"
      "[[zone]]\nname = \"z1\"\nregion = \"r\"\n"
      "[[account]]\nname = \"a\"\npriority = 0\nshare = 1\n"
      "[[service]]\nname = \"plain\"\nkind = \"plain\"\npath = \"/\"\n"
      "pick = \"by-key\"\n"
      "[[service]]\nname = \"idle\"\nkind = \"plain\"\n"
      "path = \"/idle\"\npick = \"by-key\"\n"
      "[limits]\nbody = \"1 MiB\"\ndefault_deadline = \"30 s\"\n"
      "maximum_deadline = \"120 s\"\n"
      "[admission]\npolicy = \"fixed\"\norder = \"fifo\"\n"
      "cold_requests = 1\ncold_tokens = 1\nmaximum_requests = 8\n"
      "maximum_tokens = 8\nqueue_requests = 8\n"
      "slow_first_token = \"1 s\"\n"
      "[retry]\nbudget_ratio = %s\nattempts = 3\n"
      "[claims]\njournal = \"store\"\nretention = \"7 d\"\n"
      "linger = \"5 ms\"\n"
      "[placement]\npolicy = \"fixed\"\ninterval = \"10 s\"\n"
      "minimum_gain = 0.02\n";

typedef struct fixture fixture_t;

/* A fake agent, which runs on the event loop of the entry's worker.  */
typedef struct fake_agent
{
  fixture_t *fixture;
  char name[8];
  node_t *node;
  listener_t *listener;
  uint16_t port;
  link_t *link;
  unsigned submits; /* frames received of each type */
  unsigned cancels;
  unsigned resumes;
  request_id_t request;
  uint64_t resumed_from;
  uint64_t acknowledged;
} fake_agent_t;

struct fixture
{
  clock_source_t *clock;
  pool_t *pool;
  worker_t *worker;
  node_t *node;
  entry_t entry;
  entry_worker_t entry_worker;
  fake_agent_t agents[AGENT_COUNT];
  uint64_t revision;
  const char *budget_ratio;
  unsigned heads;
  unsigned ends;
  char data[64];
  size_t size;
  call_result_t result;
};

static void
fake_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  (void)link;
  (void)peer;
  (void)data;
}

static void
fake_on_frame (link_t *link, const frame_t *frame, void *data)
{
  fake_agent_t *agent = data;

  (void)link;
  if (frame->header.type == FRAME_SUBMIT)
    {
      agent->submits++;
      agent->request = frame->header.request;
    }
  else if (frame->header.type == FRAME_CANCEL)
    agent->cancels++;
  else if (frame->header.type == FRAME_ACK)
    agent->acknowledged = frame->body.offset.offset;
  else if (frame->header.type == FRAME_RESUME)
    {
      agent->resumes++;
      agent->resumed_from = frame->body.offset.offset;
    }
}

static void
fake_on_closed (link_t *link, const char *reason, void *data)
{
  fake_agent_t *agent = data;

  (void)reason;
  if (agent->link == link)
    agent->link = NULL;
}

static const link_ops_t fake_ops = {
  .on_open = fake_on_open,
  .on_frame = fake_on_frame,
  .on_closed = fake_on_closed,
};

static void
fake_accept (stream_t *stream, void *data)
{
  fake_agent_t *agent = data;

  agent->link = link_accept (agent->fixture->worker, agent->node, stream,
                             &fake_ops, agent);
}

/* Give AGENT a new node and with it a new incarnation.  */
static void
fake_create_node (fake_agent_t *agent)
{
  agent->node = node_create (agent->fixture->pool, NODE_AGENT, agent->name,
                             "z1", agent->fixture->clock);
}

static void
fake_create (fixture_t *fixture, unsigned index)
{
  fake_agent_t *agent = &fixture->agents[index];
  net_address_t address = { "127.0.0.1", 0 };

  agent->fixture = fixture;
  snprintf (agent->name, sizeof agent->name, "u%u", index);
  fake_create_node (agent);
  agent->listener
      = transport_listen (transport_tcp (), fixture->worker, &address,
                          &agent->port, fake_accept, agent);
  assert_non_null (agent->listener);
}

static void
fake_send_head (fake_agent_t *agent)
{
  frame_t frame
      = { .header = { .type = FRAME_HEAD, .request = agent->request } };

  frame.body.head.http_status = 200;
  frame.body.head.content_type = "text/plain";
  link_send (agent->link, &frame);
}

static void
fake_send_chunk (fake_agent_t *agent, uint64_t offset, const char *text)
{
  frame_t frame
      = { .header = { .type = FRAME_CHUNK, .request = agent->request } };

  frame.body.chunk.offset = offset;
  frame.body.chunk.data = (blob_t){ text, strlen (text) };
  link_send (agent->link, &frame);
}

static void
fake_send_end (fake_agent_t *agent, uint64_t length)
{
  frame_t frame
      = { .header = { .type = FRAME_END, .request = agent->request } };

  frame.body.end.outcome = OUTCOME_RAN;
  frame.body.end.length = length;
  frame.body.end.is_complete = true;
  link_send (agent->link, &frame);
}

static void
fake_refuse (fake_agent_t *agent, refusal_t refusal, outcome_t outcome)
{
  frame_t frame
      = { .header = { .type = FRAME_REFUSE, .request = agent->request } };

  frame.body.refuse.refusal = refusal;
  frame.body.refuse.outcome = outcome;
  link_send (agent->link, &frame);
}

static void
fake_send_response (fake_agent_t *agent)
{
  fake_send_head (agent);
  fake_send_chunk (agent, 0, "whole");
  fake_send_end (agent, 5);
}

static void
caller_on_head (call_t *call, unsigned http_status, const char *content_type,
                void *data)
{
  fixture_t *fixture = data;

  (void)call;
  (void)http_status;
  (void)content_type;
  fixture->heads++;
}

static void
caller_on_data (call_t *call, const char *bytes, size_t size, void *data)
{
  fixture_t *fixture = data;

  memcpy (fixture->data + fixture->size, bytes, size);
  fixture->size += size;
  call_set_pending_bytes (call, 0);
}

static void
caller_on_end (call_t *call, const call_result_t *result, void *data)
{
  fixture_t *fixture = data;

  (void)call;
  fixture->ends++;
  fixture->result = *result;
}

static const call_ops_t caller_ops = {
  .on_head = caller_on_head,
  .on_data = caller_on_data,
  .on_end = caller_on_end,
};

/* Apply settings that list the first LISTED agents.  */
static void
configure (fixture_t *fixture, unsigned listed)
{
  settings_parts_t *parts = settings_parts_create (NULL);
  char *inventory = talloc_strdup (
      parts, "name,address,zone,kind,service,model,group,rank\n"
             "idle,127.0.0.1:1,z1,plain,idle,,,\n");
  char *document;
  settings_t *settings;

  for (unsigned i = 0; i < listed; i++)
    inventory = talloc_asprintf_append (inventory,
                                        "u%u,127.0.0.1:%u,z1,plain,plain,,,\n",
                                        i, fixture->agents[i].port);
  parts->revision = ++fixture->revision;
  parts->change_id = "c";
  parts->changed_by = "test";
  parts->changed_why = "test";
  parts->changed_at = "2026-01-01T00:00:00Z";
  parts->rules = talloc_asprintf (parts, rules, fixture->budget_ratio);
  parts->inventory = inventory;
  document = settings_parts_format (parts, parts);
  if (node_adopt_settings (fixture->node, document, strlen (document))
      != STATUS_OK)
    fail_msg ("%s", status_message ());
  settings = node_settings (fixture->node);
  assert_int_equal (router_configure (fixture->entry.router, settings),
                    STATUS_OK);
  settings_release (settings);
  agent_link_sync_targets (&fixture->entry_worker);
  settings_parts_destroy (parts);
}

static void
set_up_entry (fixture_t *fixture)
{
  entry_t *entry = &fixture->entry;

  entry->node = fixture->node;
  entry->worker_count = 1;
  entry->workers = &fixture->entry_worker;
  entry->calls = table_create (fixture->pool, LOCK_REQUESTS, "calls");
  entry->router = router_create (fixture->pool, "z1", fixture->clock, 1, 1);
  fixture->entry_worker.entry = entry;
  fixture->entry_worker.worker = fixture->worker;
  LIST_INIT (&fixture->entry_worker.links);
  TAILQ_INIT (&fixture->entry_worker.waiting);
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  invariant_set_fatal (true);
  fixture->clock = clock_create_system (fixture);
  fixture->pool = pool_create (fixture, 1, fixture->clock);
  fixture->worker = pool_worker (fixture->pool, 0);
  fixture->node
      = node_create (fixture->pool, NODE_ENTRY, "entry", "z1", fixture->clock);
  fixture->budget_ratio = "1.0";
  set_up_entry (fixture);
  for (unsigned i = 0; i < AGENT_COUNT; i++)
    fake_create (fixture, i);
  *state = fixture;
  alarm (TEST_TIMEOUT_S);
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < AGENT_COUNT; i++)
    transport_stop_listening (transport_tcp (), fixture->agents[i].listener);
  talloc_free (fixture);
  return 0;
}

/* Run the event loop until CONDITION holds.  The alarm ends the test if it
   never does.  */
#define RUN_UNTIL(fixture, condition)                                         \
  while (!(condition))                                                        \
  tevent_loop_once (worker_events ((fixture)->worker))

static void
submit (fixture_t *fixture, bool is_repeatable, int64_t deadline_ms)
{
  call_request_t request = { .account = "a",
                             .service = "plain",
                             .model = "",
                             .method = "POST",
                             .path = "/",
                             .content_type = "",
                             .key = "k",
                             .is_repeatable = is_repeatable,
                             .deadline = timespec_from_ms (deadline_ms) };

  call_submit (&fixture->entry_worker, &request, &caller_ops, fixture);
}

/* Connect to the first LISTED agents, submit a request and return the agent
   that received it.  */
static fake_agent_t *
submit_to_agent (fixture_t *fixture, unsigned listed, bool is_repeatable,
                 int64_t deadline_ms)
{
  fake_agent_t *agents = fixture->agents;

  configure (fixture, listed);
  for (unsigned i = 0; i < listed; i++)
    RUN_UNTIL (fixture, agent_link_is_open (agent_link_find (
                            &fixture->entry_worker, agents[i].name)));
  submit (fixture, is_repeatable, deadline_ms);
  RUN_UNTIL (fixture, agents[0].submits + agents[1].submits == 1);
  return agents[0].submits == 1 ? &agents[0] : &agents[1];
}

static fake_agent_t *
other_agent (fixture_t *fixture, const fake_agent_t *agent)
{
  return agent == &fixture->agents[0] ? &fixture->agents[1]
                                      : &fixture->agents[0];
}

static void
expect_complete (fixture_t *fixture)
{
  RUN_UNTIL (fixture, fixture->ends == 1);
  assert_true (fixture->result.is_complete);
  assert_int_equal (fixture->result.outcome, OUTCOME_RAN);
  assert_int_equal (fixture->heads, 1);
  assert_memory_equal (fixture->data, "whole", 5);
  assert_int_equal (fixture->size, 5);
}

static void
expect_end (fixture_t *fixture, outcome_t outcome, refusal_t refusal)
{
  RUN_UNTIL (fixture, fixture->ends == 1);
  assert_false (fixture->result.is_complete);
  assert_string_equal (outcome_name (fixture->result.outcome),
                       outcome_name (outcome));
  assert_string_equal (refusal_name (fixture->result.refusal),
                       refusal_name (refusal));
}

static void
test_call_waits_for_the_first_connection (void **state)
{
  fixture_t *fixture = *state;

  configure (fixture, 0);
  submit (fixture, true, LONG_DEADLINE_MS);
  RUN_UNTIL (fixture, fixture->entry_worker.waiting_count == 1);
  assert_int_equal (fixture->ends, 0);
  configure (fixture, 1);
  RUN_UNTIL (fixture, fixture->agents[0].submits == 1);
  fake_send_response (&fixture->agents[0]);
  expect_complete (fixture);
}

static void
test_waiting_call_ends_at_its_deadline (void **state)
{
  fixture_t *fixture = *state;

  configure (fixture, 0);
  submit (fixture, true, SHORT_DEADLINE_MS);
  expect_end (fixture, OUTCOME_NOT_RUN, REFUSAL_DEADLINE);
}

static void
test_deadline_without_agent_reply_gives_unknown (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 1, true, SHORT_DEADLINE_MS);

  expect_end (fixture, OUTCOME_UNKNOWN, REFUSAL_DEADLINE);
  RUN_UNTIL (fixture, agent->cancels > 0);
}

static void
test_deadline_reports_the_outcome_from_the_agent (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 1, true, SHORT_DEADLINE_MS);

  RUN_UNTIL (fixture, agent->cancels > 0);
  fake_refuse (agent, REFUSAL_CANCELLED, OUTCOME_NOT_RUN);
  expect_end (fixture, OUTCOME_NOT_RUN, REFUSAL_DEADLINE);
}

static void
test_missing_bytes_abort_the_response (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 1, true, LONG_DEADLINE_MS);

  fake_send_head (agent);
  fake_send_chunk (agent, 3, "le");
  fake_send_end (agent, 5);
  expect_end (fixture, OUTCOME_RAN, REFUSAL_UPSTREAM);
  assert_int_equal (fixture->size, 0);
}

static void
test_wrong_length_makes_the_response_incomplete (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 1, true, LONG_DEADLINE_MS);

  fake_send_head (agent);
  fake_send_chunk (agent, 0, "who");
  fake_send_end (agent, 5);
  expect_end (fixture, OUTCOME_RAN, REFUSAL_NONE);
}

static void
test_resumes_after_reconnecting_to_the_same_incarnation (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 1, false, LONG_DEADLINE_MS);

  fake_send_head (agent);
  fake_send_chunk (agent, 0, "who");
  RUN_UNTIL (fixture, fixture->size == 3);
  link_close (agent->link, "test");
  agent->acknowledged = 0;
  RUN_UNTIL (fixture, agent->resumes == 1 && agent->acknowledged == 3);
  assert_int_equal (agent->resumed_from, 3);
  fake_send_head (agent);
  fake_send_chunk (agent, 2, "ole");
  fake_send_end (agent, 5);
  expect_complete (fixture);
}

/* Close the connection and let AGENT come back as another incarnation.  */
static void
restart_agent (fixture_t *fixture, fake_agent_t *agent)
{
  fake_create_node (agent);
  link_close (agent->link, "test");
  RUN_UNTIL (fixture, agent->link == NULL);
}

static void
test_agent_restart_gives_unknown_for_non_repeatable (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 1, false, LONG_DEADLINE_MS);

  restart_agent (fixture, agent);
  expect_end (fixture, OUTCOME_UNKNOWN, REFUSAL_UPSTREAM);
  assert_int_equal (agent->submits, 1);
  assert_int_equal (agent->resumes, 0);
}

static void
test_agent_restart_retries_repeatable_on_another (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 2, true, LONG_DEADLINE_MS);
  fake_agent_t *other = other_agent (fixture, agent);

  restart_agent (fixture, agent);
  RUN_UNTIL (fixture, other->submits == 1);
  fake_send_response (other);
  expect_complete (fixture);
}

static void
test_closed_upstream_needs_no_retry_budget (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent;
  fake_agent_t *other;

  fixture->budget_ratio = "0.0";
  agent = submit_to_agent (fixture, 2, false, LONG_DEADLINE_MS);
  other = other_agent (fixture, agent);
  fake_refuse (agent, REFUSAL_LEAVING, OUTCOME_NOT_RUN);
  RUN_UNTIL (fixture, other->submits == 1);
  fake_send_response (other);
  expect_complete (fixture);
}

static void
test_overload_needs_retry_budget (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent;

  fixture->budget_ratio = "0.0";
  agent = submit_to_agent (fixture, 2, true, LONG_DEADLINE_MS);
  fake_refuse (agent, REFUSAL_OVERLOAD, OUTCOME_NOT_RUN);
  expect_end (fixture, OUTCOME_NOT_RUN, REFUSAL_OVERLOAD);
}

static void
test_unknown_outcome_of_an_earlier_attempt_is_kept (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 2, true, LONG_DEADLINE_MS);
  fake_agent_t *other = other_agent (fixture, agent);

  fake_refuse (agent, REFUSAL_UPSTREAM, OUTCOME_UNKNOWN);
  RUN_UNTIL (fixture, other->submits == 1);
  fake_refuse (other, REFUSAL_OVERLOAD, OUTCOME_NOT_RUN);
  expect_end (fixture, OUTCOME_UNKNOWN, REFUSAL_OVERLOAD);
}

static void
test_late_response_to_an_earlier_attempt_is_dropped (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 2, true, LONG_DEADLINE_MS);
  fake_agent_t *other = other_agent (fixture, agent);

  fake_refuse (agent, REFUSAL_UPSTREAM, OUTCOME_UNKNOWN);
  RUN_UNTIL (fixture, other->submits == 1);
  fake_send_head (agent);
  fake_send_chunk (agent, 0, "wrong");
  fake_send_end (agent, 5);
  agent->acknowledged = 1;
  RUN_UNTIL (fixture, agent->acknowledged == 0);
  assert_int_equal (fixture->heads, 0);
  fake_send_response (other);
  expect_complete (fixture);
}

static void
test_removed_upstream_finishes_its_open_calls (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent = submit_to_agent (fixture, 1, false, LONG_DEADLINE_MS);

  fake_send_head (agent);
  fake_send_chunk (agent, 0, "who");
  RUN_UNTIL (fixture, fixture->size == 3);
  configure (fixture, 0);
  fake_send_chunk (agent, 3, "le");
  fake_send_end (agent, 5);
  expect_complete (fixture);
  RUN_UNTIL (fixture, agent->link == NULL);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_call_waits_for_the_first_connection,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_waiting_call_ends_at_its_deadline,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_deadline_without_agent_reply_gives_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_deadline_reports_the_outcome_from_the_agent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_missing_bytes_abort_the_response,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_wrong_length_makes_the_response_incomplete, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_resumes_after_reconnecting_to_the_same_incarnation, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (
        test_agent_restart_gives_unknown_for_non_repeatable, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (
        test_agent_restart_retries_repeatable_on_another, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_closed_upstream_needs_no_retry_budget, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_overload_needs_retry_budget, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (
        test_unknown_outcome_of_an_earlier_attempt_is_kept, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_late_response_to_an_earlier_attempt_is_dropped, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (
        test_removed_upstream_finishes_its_open_calls, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
