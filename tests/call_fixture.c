#include "call_fixture.h"

#include "kernel/invariant.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  TEST_TIMEOUT_S = 30
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
void
fixture_configure (fixture_t *fixture, unsigned listed)
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

/* Create the fixture of a test.  The alarm ends a test that hangs.  */
int
fixture_set_up (void **state)
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
    fake_create (&fixture->agents[i], i, fixture->pool, fixture->worker,
                 fixture->clock);
  *state = fixture;
  alarm (TEST_TIMEOUT_S);
  return 0;
}

/* Stop the agents and free the fixture.  */
int
fixture_tear_down (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < AGENT_COUNT; i++)
    transport_stop_listening (transport_tcp (), fixture->agents[i].listener);
  talloc_free (fixture);
  return 0;
}

/* Submit a request, which may run more than once if it IS_REPEATABLE.  */
void
fixture_submit (fixture_t *fixture, bool is_repeatable, int64_t deadline_ms)
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
fake_agent_t *
fixture_submit_to_agent (fixture_t *fixture, unsigned listed,
                         bool is_repeatable, int64_t deadline_ms)
{
  fake_agent_t *agents = fixture->agents;

  fixture_configure (fixture, listed);
  for (unsigned i = 0; i < listed; i++)
    RUN_UNTIL (fixture, agent_link_is_open (agent_link_find (
                            &fixture->entry_worker, agents[i].name)));
  fixture_submit (fixture, is_repeatable, deadline_ms);
  RUN_UNTIL (fixture, agents[0].submits + agents[1].submits == 1);
  return agents[0].submits == 1 ? &agents[0] : &agents[1];
}

/* Return the agent that is not AGENT.  */
fake_agent_t *
fixture_other_agent (fixture_t *fixture, const fake_agent_t *agent)
{
  return agent == &fixture->agents[0] ? &fixture->agents[1]
                                      : &fixture->agents[0];
}

/* Wait for the end of the request, which must get the whole response.  */
void
fixture_expect_complete (fixture_t *fixture)
{
  RUN_UNTIL (fixture, fixture->ends == 1);
  assert_true (fixture->result.is_complete);
  assert_int_equal (fixture->result.outcome, OUTCOME_RAN);
  assert_int_equal (fixture->heads, 1);
  assert_memory_equal (fixture->data, "whole", 5);
  assert_int_equal (fixture->size, 5);
}

/* Wait for the end of the request, which must not get a whole response.  */
void
fixture_expect_end (fixture_t *fixture, outcome_t outcome, refusal_t refusal)
{
  RUN_UNTIL (fixture, fixture->ends == 1);
  assert_false (fixture->result.is_complete);
  assert_string_equal (outcome_name (fixture->result.outcome),
                       outcome_name (outcome));
  assert_string_equal (refusal_name (fixture->result.refusal),
                       refusal_name (refusal));
}
