#include "agent/group.h"

#include "agent/group_plan.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RESEND_INTERVAL_MS = 200,
  MONITOR_INTERVAL_MS = 1000,
  PREPARE_TIMEOUT_MS = 120000, /* weights may be loaded from slow storage */
  ARM_TIMEOUT_MS = 5000,
  /* Rank 0 tries to become coordinator after this time without one.  */
  COORDINATOR_TIMEOUT_MS = 3000,
  /* Additional delay per rank, so that the ranks don't compete.  */
  COORDINATOR_TIMEOUT_STEP_MS = 400,
  STORE_RETRY_MS = 1000
};

COUNTER_DEFINE_LABELLED (committed_total, "siskin_group_switches_total",
                         "outcome=\"committed\"", "Map switches decided");
COUNTER_DEFINE_LABELLED (aborted_total, "siskin_group_switches_total",
                         "outcome=\"aborted\"", "Map switches decided");
COUNTER_DEFINE (terms_total, "siskin_group_terms_total",
                "Times that this agent became coordinator of its group");
GAUGE_DEFINE (leading_gauge, "siskin_group_leading",
              "Whether this agent is the coordinator of its group");

struct group_leadership
{
  group_t *group;
  group_coordinator_t *coordinator;
  group_plan_t *plan;
  char *key;
  bool is_store_call_open; /* a call to the store is in progress */
  struct timespec retry_at;
  char *claim; /* value written by the current or last attempt, or NULL */
};

static void
coordinator_send (const group_command_t *command, void *data)
{
  group_leadership_t *leadership = data;
  bool wants_counts
      = command->kind == GROUP_CONFIRM
        && group_plan_is_due (leadership->plan, group_now (leadership->group));

  group_peers_send (leadership->group, command, wants_counts);
}

/* End the term.  The timeout for a new coordinator starts now.  */
static void
leadership_end (group_leadership_t *leadership)
{
  counter_set (&leading_gauge, 0);
  group_peers_close (leadership->group);
  leadership->group->coordinator_timeout_start = group_now (leadership->group);
}

static const char *
event_name (group_event_t event)
{
  static const char *const names[]
      = { [GROUP_EVENT_LEADING] = "leading",
          [GROUP_EVENT_DEPOSED] = "deposed",
          [GROUP_EVENT_RESTARTED] = "rank-restarted",
          [GROUP_EVENT_COMMITTING] = "switch-committed",
          [GROUP_EVENT_ABORTING] = "switch-aborted",
          [GROUP_EVENT_RECONCILED] = "settled" };

  return names[event];
}

static void
coordinator_event (group_event_t event, uint64_t version, void *data)
{
  group_leadership_t *leadership = data;

  log_event (
      LOG_LEVEL_NOTICE, "group-coordinator",
      "group=%s event=%s version=%llu epoch=%llu", leadership->group->name,
      event_name (event), (unsigned long long)version,
      (unsigned long long)group_coordinator_epoch (leadership->coordinator));
  if (event == GROUP_EVENT_COMMITTING)
    counter_add (&committed_total, 1);
  else if (event == GROUP_EVENT_ABORTING)
    counter_add (&aborted_total, 1);
  else if (event == GROUP_EVENT_DEPOSED)
    leadership_end (leadership);
}

static const group_coordinator_ops_t coordinator_ops
    = { .send = coordinator_send, .on_event = coordinator_event };

/* Create GROUP's part in the election of the coordinator.  Returns NULL when
   out of memory.  */
group_leadership_t *
group_leadership_create (group_t *group)
{
  group_leadership_t *leadership = talloc_zero (group, group_leadership_t);
  group_coordinator_options_t options = {
    .rank_count = group->rank_count,
    .resend_interval = timespec_from_ms (RESEND_INTERVAL_MS),
    .monitor_interval = timespec_from_ms (MONITOR_INTERVAL_MS),
    .prepare_timeout = timespec_from_ms (PREPARE_TIMEOUT_MS),
    .arm_timeout = timespec_from_ms (ARM_TIMEOUT_MS),
    .ops = &coordinator_ops,
    .data = leadership,
  };

  if (leadership == NULL)
    return NULL;
  leadership->group = group;
  leadership->key = talloc_asprintf (
      leadership, STORE_PREFIX_GROUPS "%s/epoch", group->name);
  leadership->coordinator = group_coordinator_create (leadership, &options);
  leadership->plan = group_plan_create (group, leadership->coordinator);
  return leadership;
}

/* Apply new settings.  */
void
group_leadership_configure (group_leadership_t *leadership)
{
  group_plan_configure (leadership->plan);
}

/* Start a term as coordinator with EPOCH.  */
static void
leadership_begin (group_leadership_t *leadership, uint64_t epoch)
{
  group_t *group = leadership->group;
  uint64_t first = group_version_after (0, epoch);
  placement_map_t *map
      = placement_map_create_initial (leadership, &group->shape);

  if (map == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "group-shape-invalid", "group=%s",
                 group->name);
      return;
    }
  group_maps_add (group->maps, first, map);
  log_event (LOG_LEVEL_NOTICE, "group-term", "group=%s rank=%u epoch=%llu",
             group->name, group->rank, (unsigned long long)epoch);
  counter_add (&terms_total, 1);
  counter_set (&leading_gauge, 1);
  group_peers_open (group);
  group_plan_reset (leadership->plan);
  group_coordinator_start_term (leadership->coordinator, epoch, first,
                                group_now (group));
}

static uint64_t
epoch_of (const char *value)
{
  return value == NULL ? 0 : strtoull (value, NULL, 10);
}

static void leadership_on_read (status_t status, const store_result_t *result,
                                void *data);

static void
leadership_on_claimed (status_t status, const store_result_t *result,
                       void *data)
{
  group_leadership_t *leadership = data;

  leadership->is_store_call_open = false;
  if (status == STATUS_OK && result->succeeded)
    leadership_begin (leadership, epoch_of (leadership->claim));
}

/* Write the epoch after the one in OLD_VALUE, or the first one if OLD_VALUE is
   NULL.  The value contains this process's incarnation, so that no other
   process writes the same.  */
static void
leadership_claim (group_leadership_t *leadership, const char *old_value)
{
  group_t *group = leadership->group;
  store_txn_t *txn = store_txn_create (leadership);

  talloc_free (leadership->claim);
  leadership->claim = talloc_asprintf (
      leadership, "%llu %s %016llx",
      (unsigned long long)epoch_of (old_value) + 1,
      node_name (group->options.node),
      (unsigned long long)node_incarnation (group->options.node));
  if (old_value == NULL)
    store_txn_if_absent (txn, leadership->key);
  else
    store_txn_if_value (txn, leadership->key, old_value);
  store_txn_then (txn, STORE_PUT, leadership->key, leadership->claim);
  leadership->is_store_call_open
      = group->options.store_ops->transact (group->options.store, txn,
                                            leadership_on_claimed, leadership)
        == STATUS_OK;
  store_txn_destroy (txn);
}

static void
leadership_on_read (status_t status, const store_result_t *result, void *data)
{
  group_leadership_t *leadership = data;
  const store_entry_t *entry;

  leadership->is_store_call_open = false;
  if (status != STATUS_OK)
    return;
  entry = store_result_entry (result, 0);
  if (entry != NULL && leadership->claim != NULL
      && strcmp (entry->value, leadership->claim) == 0
      && epoch_of (leadership->claim)
             > group_coordinator_epoch (leadership->coordinator))
    /* The write succeeded but its response was lost.  */
    leadership_begin (leadership, epoch_of (leadership->claim));
  else
    leadership_claim (leadership, entry == NULL ? NULL : entry->value);
}

/* Read the group's epoch from the store, in order to claim the next one.  */
static void
leadership_read_epoch (group_leadership_t *leadership)
{
  group_t *group = leadership->group;
  store_txn_t *txn = store_txn_create (leadership);

  leadership->retry_at
      = timespec_add (group_now (group), timespec_from_ms (STORE_RETRY_MS));
  store_txn_then (txn, STORE_GET, leadership->key, NULL);
  leadership->is_store_call_open
      = group->options.store_ops->transact (group->options.store, txn,
                                            leadership_on_read, leadership)
        == STATUS_OK;
  store_txn_destroy (txn);
}

/* Return whether this rank should try to become coordinator: its engine's
   state is known, all ranks are configured, and there has been no coordinator
   for the timeout of this rank.  */
static bool
leadership_is_claim_due (const group_leadership_t *leadership)
{
  const group_t *group = leadership->group;
  struct timespec now = group_now (group);
  int64_t silence_ms = timespec_to_ms (
      timespec_subtract (now, group->coordinator_timeout_start));

  return group_rank_is_idle (group->own_rank)
         && group->shape.ranks == group->rank_count
         && !leadership->is_store_call_open
         && timespec_compare (now, leadership->retry_at) >= 0
         && silence_ms
                >= COORDINATOR_TIMEOUT_MS
                       + (int64_t)group->rank * COORDINATOR_TIMEOUT_STEP_MS;
}

/* Periodic work of the coordinator, or of a candidate.  */
void
group_leadership_tick (group_leadership_t *leadership)
{
  if (group_coordinator_phase (leadership->coordinator) == GROUP_IDLE)
    {
      if (leadership_is_claim_due (leadership))
        leadership_read_epoch (leadership);
      return;
    }
  group_peers_open (leadership->group);
  group_coordinator_tick (leadership->coordinator,
                          group_now (leadership->group));
}

/* Pass a rank's reply to the coordinator.  */
void
group_leadership_receive (group_leadership_t *leadership,
                          const group_reply_t *reply)
{
  group_coordinator_receive (leadership->coordinator, reply,
                             group_now (leadership->group));
}

/* Pass a rank's counters to the planner, which starts a switch if it is worth
   the cost.  */
void
group_leadership_handle_counts (group_leadership_t *leadership,
                                const frame_map_counts_t *counts)
{
  if (group_coordinator_phase (leadership->coordinator) == GROUP_IDLE
      || strcmp (counts->group, leadership->group->name) != 0)
    return;
  group_plan_handle_counts (leadership->plan, counts);
  group_plan_run (leadership->plan, group_now (leadership->group));
}
