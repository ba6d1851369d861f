#include "agent/group.h"

#include "agent/group_plan.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RESEND_MS = 200,
  WATCH_MS = 1000,
  PREPARE_TIMEOUT_MS = 120000, /* weights come through a slow store */
  ARM_TIMEOUT_MS = 5000,
  SILENCE_MS = 3000,     /* without a coordinator, then rank 0 tries to lead */
  SILENCE_STEP_MS = 400, /* later for each rank, so that one comes first */
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
  bool is_asking; /* a call to the store is open */
  struct timespec ask_at;
  char *claim; /* the value written in the open or last attempt, or NULL */
};

static void
coordinator_send (const group_command_t *order, void *data)
{
  group_leadership_t *lead = data;
  bool wants_counts
      = order->kind == GROUP_CONFIRM
        && group_plan_is_due (lead->plan, group_now (lead->group));

  group_peers_send (lead->group, order, wants_counts);
}

static void
lead_end (group_leadership_t *lead)
{
  counter_set (&leading_gauge, 0);
  group_peers_close (lead->group);
  lead->group->led_at = group_now (lead->group);
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
  group_leadership_t *lead = data;

  log_event (LOG_LEVEL_NOTICE, "group-coordinator",
             "group=%s event=%s version=%llu epoch=%llu", lead->group->name,
             event_name (event), (unsigned long long)version,
             (unsigned long long)group_coordinator_epoch (lead->coordinator));
  if (event == GROUP_EVENT_COMMITTING)
    counter_add (&committed_total, 1);
  else if (event == GROUP_EVENT_ABORTING)
    counter_add (&aborted_total, 1);
  else if (event == GROUP_EVENT_DEPOSED)
    lead_end (lead);
}

static const group_coordinator_ops_t coordinator_ops
    = { .send = coordinator_send, .on_event = coordinator_event };

/* Create the part of GROUP that may coordinate it.  */
group_leadership_t *
group_leadership_create (group_t *group)
{
  group_leadership_t *lead = talloc_zero (group, group_leadership_t);
  group_coordinator_options_t options = {
    .rank_count = group->rank_count,
    .resend_interval = timespec_from_ms (RESEND_MS),
    .watch_interval = timespec_from_ms (WATCH_MS),
    .prepare_timeout = timespec_from_ms (PREPARE_TIMEOUT_MS),
    .arm_timeout = timespec_from_ms (ARM_TIMEOUT_MS),
    .ops = &coordinator_ops,
    .data = lead,
  };

  if (lead == NULL)
    return NULL;
  lead->group = group;
  lead->key
      = talloc_asprintf (lead, STORE_PREFIX_GROUPS "%s/epoch", group->name);
  lead->coordinator = group_coordinator_create (lead, &options);
  lead->plan = group_plan_create (group, lead->coordinator);
  return lead;
}

/* Put new settings in force.  */
void
group_leadership_configure (group_leadership_t *lead)
{
  group_plan_configure (lead->plan);
}

static void
lead_begin (group_leadership_t *lead, uint64_t epoch)
{
  group_t *group = lead->group;
  uint64_t first = group_version_after (0, epoch);
  placement_map_t *map = placement_map_create_initial (lead, &group->shape);

  if (map == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "group-shape-impossible", "group=%s",
                 group->name);
      return;
    }
  group_maps_add (group->maps, first, map);
  log_event (LOG_LEVEL_NOTICE, "group-term", "group=%s rank=%u epoch=%llu",
             group->name, group->rank, (unsigned long long)epoch);
  counter_add (&terms_total, 1);
  counter_set (&leading_gauge, 1);
  group_peers_open (group);
  group_plan_reset (lead->plan);
  group_coordinator_start_term (lead->coordinator, epoch, first,
                                group_now (group));
}

static uint64_t
epoch_of (const char *value)
{
  return value == NULL ? 0 : strtoull (value, NULL, 10);
}

static void lead_on_read (status_t status, const store_result_t *result,
                          void *data);

static void
lead_on_claimed (status_t status, const store_result_t *result, void *data)
{
  group_leadership_t *lead = data;

  lead->is_asking = false;
  if (status == STATUS_OK && result->succeeded)
    lead_begin (lead, epoch_of (lead->claim));
}

/* Write the epoch after the one in OLD, NULL for none, under a value that
   nobody else writes.  */
static void
lead_claim (group_leadership_t *lead, const char *old)
{
  group_t *group = lead->group;
  store_txn_t *txn = store_txn_create (lead);

  talloc_free (lead->claim);
  lead->claim = talloc_asprintf (
      lead, "%llu %s %016llx", (unsigned long long)epoch_of (old) + 1,
      node_name (group->options.node),
      (unsigned long long)node_incarnation (group->options.node));
  if (old == NULL)
    store_txn_if_absent (txn, lead->key);
  else
    store_txn_if_value (txn, lead->key, old);
  store_txn_then (txn, STORE_PUT, lead->key, lead->claim);
  lead->is_asking = group->options.store_ops->transact (
                        group->options.store, txn, lead_on_claimed, lead)
                    == STATUS_OK;
  store_txn_destroy (txn);
}

static void
lead_on_read (status_t status, const store_result_t *result, void *data)
{
  group_leadership_t *lead = data;
  const store_entry_t *entry;

  lead->is_asking = false;
  if (status != STATUS_OK)
    return;
  entry = store_result_entry (result, 0);
  if (entry != NULL && lead->claim != NULL
      && strcmp (entry->value, lead->claim) == 0
      && epoch_of (lead->claim) > group_coordinator_epoch (lead->coordinator))
    lead_begin (lead, epoch_of (lead->claim)); /* the answer was lost */
  else
    lead_claim (lead, entry == NULL ? NULL : entry->value);
}

/* Ask the store for an epoch.  */
static void
lead_ask (group_leadership_t *lead)
{
  group_t *group = lead->group;
  store_txn_t *txn = store_txn_create (lead);

  lead->ask_at
      = timespec_add (group_now (group), timespec_from_ms (STORE_RETRY_MS));
  store_txn_then (txn, STORE_GET, lead->key, NULL);
  lead->is_asking = group->options.store_ops->transact (
                        group->options.store, txn, lead_on_read, lead)
                    == STATUS_OK;
  store_txn_destroy (txn);
}

/* Whether no coordinator was heard for so long that this rank is to try.  */
static bool
lead_is_wanted (const group_leadership_t *lead)
{
  const group_t *group = lead->group;
  struct timespec now = group_now (group);
  int64_t silence = timespec_to_ms (timespec_subtract (now, group->led_at));

  return group_rank_is_idle (group->state)
         && group->shape.ranks == group->rank_count && !lead->is_asking
         && timespec_compare (now, lead->ask_at) >= 0
         && silence >= SILENCE_MS + (int64_t)group->rank * SILENCE_STEP_MS;
}

/* Do what is due as coordinator, or try to become it.  */
void
group_leadership_tick (group_leadership_t *lead)
{
  if (group_coordinator_phase (lead->coordinator) == GROUP_IDLE)
    {
      if (lead_is_wanted (lead))
        lead_ask (lead);
      return;
    }
  group_peers_open (lead->group);
  group_coordinator_tick (lead->coordinator, group_now (lead->group));
}

/* Take a rank's reply.  */
void
group_leadership_receive (group_leadership_t *lead, const group_reply_t *reply)
{
  group_coordinator_receive (lead->coordinator, reply,
                             group_now (lead->group));
}

/* Take what a rank counted, and change the map if that pays.  */
void
group_leadership_note_counts (group_leadership_t *lead,
                              const frame_map_counts_t *counts)
{
  if (group_coordinator_phase (lead->coordinator) == GROUP_IDLE
      || strcmp (counts->group, lead->group->name) != 0)
    return;
  group_plan_note_counts (lead->plan, counts);
  group_plan_run (lead->plan, group_now (lead->group));
}
