#include "agent/group.h"
#include "common/numbers.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  ENGINE_READ_INTERVAL_MS = 1000
};

COUNTER_DEFINE (holds_total, "siskin_group_holds_total",
                "Steps that this rank was seen to hold before a map switch");
COUNTER_DEFINE (failures_total, "siskin_engine_order_failures_total",
                "Orders to the engine without a right answer");
GAUGE_DEFINE (map_version_gauge, "siskin_group_map_version",
              "Version of the expert map that this rank steps with");

/* Return the current monotonic time.  */
struct timespec
group_now (const group_t *group)
{
  return clock_monotonic (worker_clock (group->options.worker));
}

static bool
schedule_maps_are_known (group_t *group, const group_schedule_t *schedule)
{
  return (schedule->base == 0
          || group_maps_find (group->maps, schedule->base) != NULL)
         && (schedule->next == 0
             || group_maps_find (group->maps, schedule->next) != NULL);
}

/* Store the shape and counters in the engine's RESPONSE.  A step that the
   engine holds is logged once.  */
static void
group_update_counts (group_t *group, const engine_response_t *response)
{
  const group_schedule_t *schedule = &response->state.schedule;

  group->shape = response->shape;
  group->counted_version = schedule->base;
  group->work = response->work;
  group->busy_us = response->busy_us;
  talloc_free (group->tokens);
  group->tokens = talloc_memdup (group, response->tokens,
                                 sizeof (uint64_t) * response->token_count);
  group->token_count = group->tokens == NULL ? 0 : response->token_count;
  counter_set (&map_version_gauge, (int64_t)schedule->base);
  if (schedule->phase == GROUP_ARMED
      && response->state.current_step + 1 >= schedule->step
      && schedule->step != group->reported_hold_step)
    {
      group->reported_hold_step = schedule->step;
      counter_add (&holds_total, 1);
      log_event (LOG_LEVEL_WARN, "map-hold", "group=%s rank=%u step=%llu",
                 group->name, group->rank, (unsigned long long)schedule->step);
    }
}

static void
group_on_engine_done (status_t status, const engine_response_t *response,
                      void *data)
{
  group_t *group = data;

  if (status != STATUS_OK
      || group_maps_decode (group->maps, response->maps) != STATUS_OK)
    {
      if (!group->is_engine_failing)
        log_event (LOG_LEVEL_WARN, "engine-order-failed",
                   "group=%s rank=%u error=\"%s\"", group->name, group->rank,
                   status_message ());
      group->is_engine_failing = true;
      counter_add (&failures_total, 1);
      group_rank_engine_failed (group->own_rank, group_now (group));
      return;
    }
  if (group->is_engine_failing)
    log_event (LOG_LEVEL_NOTICE, "engine-responding", "group=%s rank=%u",
               group->name, group->rank);
  group->is_engine_failing = false;
  group_update_counts (group, response);
  group_rank_engine_responded (group->own_rank, &response->state,
                               group_now (group));
}

static void
rank_send_to_engine (const group_engine_command_t *command, void *data)
{
  group_t *group = data;
  TALLOC_CTX *scratch = talloc_new (group);
  const group_engine_state_t *engine = group_rank_engine (group->own_rank);
  bool wants_maps = engine->incarnation == 0
                    || !schedule_maps_are_known (group, &engine->schedule);
  blob_t maps = { NULL, 0 };

  if (command->kind == GROUP_ENGINE_PREPARE
      || command->kind == GROUP_ENGINE_JOIN)
    maps = group_maps_encode (scratch, group->maps, command->schedule.base,
                              command->schedule.next);
  if (command->kind != GROUP_ENGINE_READ)
    log_event (LOG_LEVEL_NOTICE, "engine-order",
               "group=%s rank=%u order=%d base=%llu next=%llu step=%llu",
               group->name, group->rank, command->kind,
               (unsigned long long)command->schedule.base,
               (unsigned long long)command->schedule.next,
               (unsigned long long)command->schedule.step);
  if (group->engine_ops->send_command (group->engine, command, maps,
                                       wants_maps, group_on_engine_done, group)
      != STATUS_OK)
    group_rank_engine_failed (group->own_rank, group_now (group));
  talloc_free (scratch);
}

static const group_route_t *
group_find_route (const group_t *group, uint64_t epoch)
{
  for (unsigned i = 0; i < GROUP_ROUTE_COUNT; i++)
    {
      if (group->routes[i].epoch == epoch)
        return &group->routes[i];
    }
  return NULL;
}

/* Remember ROUTE as the return path for EPOCH, replacing the oldest one if
   necessary.  */
static void
group_store_route (group_t *group, const group_route_t *route, uint64_t epoch)
{
  group_route_t *known = NULL;

  for (unsigned i = 0; i < GROUP_ROUTE_COUNT; i++)
    {
      if (group->routes[i].epoch == epoch)
        known = &group->routes[i];
    }
  if (known == NULL)
    known = &group->routes[group->next_route++ % GROUP_ROUTE_COUNT];
  *known = *route;
  known->epoch = epoch;
}

static void
rank_reply (const group_reply_t *reply, void *data)
{
  group_t *group = data;
  const group_route_t *route
      = group_find_route (group, reply->command_fence.epoch);
  frame_t frame = { .header = { .type = FRAME_MAP_REPLY } };
  TALLOC_CTX *scratch;

  if (route == NULL)
    return;
  if (route->is_self)
    {
      group_post_reply (group, reply);
      return;
    }
  scratch = talloc_new (group);
  group_reply_to_frame (group, reply, &frame.body.map_reply);
  if (reply->kind == GROUP_RAISE_FENCE)
    frame.body.map_reply.maps = group_maps_encode (
        scratch, group->maps, reply->schedule.base, reply->schedule.next);
  group->options.reply (route, &frame, group->options.data);
  talloc_free (scratch);
}

static const group_rank_ops_t rank_ops
    = { .send_to_engine = rank_send_to_engine, .reply = rank_reply };

/* Fill FRAME with the engine's latest counters.  Their encoding is allocated
   on PARENT.  */
void
group_counts_frame (group_t *group, TALLOC_CTX *parent, frame_t *frame)
{
  frame_map_counts_t *counts = &frame->body.map_counts;

  frame->header.type = FRAME_MAP_COUNTS;
  counts->group = group->name;
  counts->rank = group->rank;
  counts->incarnation = group_rank_incarnation (group->own_rank);
  counts->version = group->counted_version;
  counts->work = group->work;
  counts->busy_us = group->busy_us;
  counts->tokens = numbers_encode (parent, group->tokens, group->token_count);
}

static void
group_send_counts (group_t *group, const group_route_t *route)
{
  TALLOC_CTX *scratch = talloc_new (group);
  frame_t frame = { .header = { .request = { 0, 0 } } };

  group_counts_frame (group, scratch, &frame);
  if (route->is_self)
    group_leadership_handle_counts (group->leadership, &frame.body.map_counts);
  else
    group->options.reply (route, &frame, group->options.data);
  talloc_free (scratch);
}

/* Process a command for this rank whose replies go to ROUTE.  */
void
group_receive_command (group_t *group, const group_route_t *route,
                       const group_command_t *command, bool wants_counts)
{
  group_fence_t highest_fence = group_rank_highest_fence (group->own_rank);

  group_store_route (group, route, command->fence.epoch);
  if (group_fence_compare (command->fence, highest_fence) >= 0)
    group->coordinator_timeout_start = group_now (group);
  group_rank_receive (group->own_rank, command, group_now (group));
  if (wants_counts && group->counted_version != 0)
    group_send_counts (group, route);
}

/* Process a command frame that a peer sent over ROUTE.  A malformed one or one
   for another group is logged and dropped.  */
void
group_receive_frame (group_t *group, const group_route_t *route,
                     const frame_map_command_t *frame)
{
  group_command_t command;

  if (strcmp (frame->group, group->name) != 0
      || group_command_from_frame (frame, &command) != STATUS_OK
      || group_maps_decode (group->maps, frame->maps) != STATUS_OK)
    {
      log_event (LOG_LEVEL_WARN, "map-order-refused", "group=%s error=\"%s\"",
                 frame->group, status_message ());
      return;
    }
  group_receive_command (group, route, &command, frame->wants_counts);
}

static void
local_message_deliver (task_t *task, worker_t *worker)
{
  group_local_message_t *message
      = CONTAINER_OF (task, group_local_message_t, task);
  group_t *group = message->group;
  group_route_t self = { .is_self = true };

  (void)worker;
  if (message->is_reply)
    group_leadership_receive (group->leadership, &message->reply);
  else
    group_receive_command (group, &self, &message->command,
                           message->wants_counts);
  talloc_free (message);
}

static group_local_message_t *
group_create_local_message (group_t *group)
{
  group_local_message_t *message = talloc_zero (group, group_local_message_t);

  message->task.run = local_message_deliver;
  message->group = group;
  return message;
}

/* Deliver a reply of this process's rank to its own coordinator, from the
   event loop.  */
void
group_post_reply (group_t *group, const group_reply_t *reply)
{
  group_local_message_t *message = group_create_local_message (group);

  message->is_reply = true;
  message->reply = *reply;
  worker_post (group->options.worker, &message->task);
}

/* Deliver a command of this process's coordinator to its own rank, from the
   event loop.  */
void
group_post_command (group_t *group, const group_command_t *command,
                    bool wants_counts)
{
  group_local_message_t *message = group_create_local_message (group);

  message->command = *command;
  message->wants_counts = wants_counts;
  worker_post (group->options.worker, &message->task);
}

static unsigned
settings_rank_count (const settings_t *settings, const char *group)
{
  const upstream_t *upstream;
  unsigned count = 0;

  STAILQ_FOREACH (upstream, &settings->upstreams, link)
    {
      if (strcmp (upstream->group, group) == 0)
        count++;
    }
  return count;
}

/* Join the group of UPSTREAM.  Returns NULL with the status message set when
   the engine plug-in does not exist.  */
group_t *
group_create (TALLOC_CTX *parent, const group_options_t *options,
              const settings_t *settings, const upstream_t *upstream)
{
  group_t *group = talloc_zero (parent, group_t);
  group_rank_options_t rank_options
      = { .rank = (unsigned)upstream->rank,
          .incarnation = node_incarnation (options->node),
          .read_interval = timespec_from_ms (ENGINE_READ_INTERVAL_MS),
          .ops = &rank_ops };

  if (group == NULL)
    return NULL;
  group->options = *options;
  group->engine_ops = plugin_ops (PLUGIN_ENGINE, options->engine);
  if (group->engine_ops == NULL)
    {
      talloc_free (group);
      return NULL;
    }
  group->name = talloc_strdup (group, upstream->group);
  group->rank = (unsigned)upstream->rank;
  group->rank_count = settings_rank_count (settings, upstream->group);
  group->maps = group_maps_create (group);
  group->coordinator_timeout_start = group_now (group);
  group->engine
      = group->engine_ops->create (options->worker, options->engine_url);
  rank_options.data = group;
  group->own_rank
      = group_rank_create (group, &rank_options, group_now (group));
  group->peers = talloc_zero_array (group, group_peer_t, group->rank_count);
  group->leadership = group_leadership_create (group);
  group_configure (group, settings);
  log_event (LOG_LEVEL_NOTICE, "group-joined", "group=%s rank=%u ranks=%u",
             group->name, group->rank, group->rank_count);
  return group;
}

static bool
placement_is_same (const placement_settings_t *left,
                   const placement_settings_t *right)
{
  return strcmp (left->policy, right->policy) == 0
         && timespec_compare (left->interval, right->interval) == 0
         && left->minimum_gain >= right->minimum_gain
         && left->minimum_gain <= right->minimum_gain;
}

/* Apply new settings.  The set of ranks cannot change while the group runs;
   their addresses and the placement policy can.  */
void
group_configure (group_t *group, const settings_t *settings)
{
  bool is_same
      = group->policy != NULL
        && placement_is_same (&group->placement, &settings->placement);

  group_peers_configure (group, settings);
  if (is_same)
    return;
  group->placement = settings->placement;
  talloc_free (group->policy);
  group->policy = talloc_strdup (group, settings->placement.policy);
  group->placement.policy = group->policy;
  group_leadership_configure (group->leadership);
}

/* Periodic work; call this a few times a second.  */
void
group_tick (group_t *group)
{
  group_rank_tick (group->own_rank, group_now (group));
  group_leadership_tick (group->leadership);
}
