#include "agent/group.h"
#include "common/numbers.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  READ_INTERVAL_MS = 1000
};

COUNTER_DEFINE (holds_total, "siskin_group_holds_total",
                "Steps that this rank was seen to hold before a map switch");
COUNTER_DEFINE (failures_total, "siskin_engine_order_failures_total",
                "Orders to the engine without a right answer");
GAUGE_DEFINE (map_version_gauge, "siskin_group_map_version",
              "Version of the expert map that this rank steps with");

/* Return the present time.  */
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

static void
group_note_counts (group_t *group, const engine_response_t *answer)
{
  const group_schedule_t *schedule = &answer->state.schedule;

  group->shape = answer->shape;
  group->counted_version = schedule->base;
  group->work = answer->work;
  group->busy_us = answer->busy_us;
  talloc_free (group->tokens);
  group->tokens = talloc_memdup (group, answer->tokens,
                                 sizeof (uint64_t) * answer->token_count);
  group->token_count = group->tokens == NULL ? 0 : answer->token_count;
  counter_set (&map_version_gauge, (int64_t)schedule->base);
  if (schedule->phase == GROUP_ARMED
      && answer->state.current_step + 1 >= schedule->step
      && schedule->step != group->held_step)
    {
      group->held_step = schedule->step;
      counter_add (&holds_total, 1);
      log_event (LOG_LEVEL_WARN, "map-hold", "group=%s rank=%u step=%llu",
                 group->name, group->rank, (unsigned long long)schedule->step);
    }
}

static void
group_on_engine_done (status_t status, const engine_response_t *answer,
                      void *data)
{
  group_t *group = data;

  if (status != STATUS_OK
      || group_maps_decode (group->maps, answer->maps) != STATUS_OK)
    {
      if (!group->is_engine_failing)
        log_event (LOG_LEVEL_WARN, "engine-order-failed",
                   "group=%s rank=%u error=\"%s\"", group->name, group->rank,
                   status_message ());
      group->is_engine_failing = true;
      counter_add (&failures_total, 1);
      group_rank_engine_failed (group->state, group_now (group));
      return;
    }
  if (group->is_engine_failing)
    log_event (LOG_LEVEL_NOTICE, "engine-answers", "group=%s rank=%u",
               group->name, group->rank);
  group->is_engine_failing = false;
  group_note_counts (group, answer);
  group_rank_engine_responded (group->state, &answer->state,
                               group_now (group));
}

static void
rank_send_to_engine (const group_engine_command_t *order, void *data)
{
  group_t *group = data;
  TALLOC_CTX *scratch = talloc_new (group);
  const group_engine_state_t *engine = group_rank_engine (group->state);
  bool wants_maps = engine->incarnation == 0
                    || !schedule_maps_are_known (group, &engine->schedule);
  blob_t maps = { NULL, 0 };

  if (order->kind == GROUP_ENGINE_PREPARE || order->kind == GROUP_ENGINE_JOIN)
    maps = group_maps_encode (scratch, group->maps, order->schedule.base,
                              order->schedule.next);
  if (order->kind != GROUP_ENGINE_READ)
    log_event (LOG_LEVEL_NOTICE, "engine-order",
               "group=%s rank=%u order=%d base=%llu next=%llu step=%llu",
               group->name, group->rank, order->kind,
               (unsigned long long)order->schedule.base,
               (unsigned long long)order->schedule.next,
               (unsigned long long)order->schedule.step);
  if (group->engine_ops->order (group->engine, order, maps, wants_maps,
                                group_on_engine_done, group)
      != STATUS_OK)
    group_rank_engine_failed (group->state, group_now (group));
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

static void
group_note_route (group_t *group, const group_route_t *route, uint64_t epoch)
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

/* Fill FRAME with what the engine last counted.  */
void
group_counts_frame (group_t *group, TALLOC_CTX *parent, frame_t *frame)
{
  frame_map_counts_t *counts = &frame->body.map_counts;

  frame->header.type = FRAME_MAP_COUNTS;
  counts->group = group->name;
  counts->rank = group->rank;
  counts->incarnation = group_rank_incarnation (group->state);
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
    group_leadership_note_counts (group->lead, &frame.body.map_counts);
  else
    group->options.reply (route, &frame, group->options.data);
  talloc_free (scratch);
}

/* Take an order for this rank that came over ROUTE.  */
void
group_receive_command (group_t *group, const group_route_t *route,
                       const group_command_t *order, bool wants_counts)
{
  group_fence_t promised = group_rank_highest_fence (group->state);

  group_note_route (group, route, order->fence.epoch);
  if (group_fence_compare (order->fence, promised) >= 0)
    group->led_at = group_now (group);
  group_rank_receive (group->state, order, group_now (group));
  if (wants_counts && group->counted_version != 0)
    group_send_counts (group, route);
}

/* Take an order frame that a peer sent over ROUTE; one outside the protocol or
   for another group is logged and dropped.  */
void
group_receive_frame (group_t *group, const group_route_t *route,
                     const frame_map_command_t *frame)
{
  group_command_t order;

  if (strcmp (frame->group, group->name) != 0
      || group_command_from_frame (frame, &order) != STATUS_OK
      || group_maps_decode (group->maps, frame->maps) != STATUS_OK)
    {
      log_event (LOG_LEVEL_WARN, "map-order-refused", "group=%s error=\"%s\"",
                 frame->group, status_message ());
      return;
    }
  group_receive_command (group, route, &order, frame->wants_counts);
}

static void
parcel_run (task_t *task, worker_t *worker)
{
  group_local_message_t *parcel
      = CONTAINER_OF (task, group_local_message_t, task);
  group_t *group = parcel->group;
  group_route_t self = { .is_self = true };

  (void)worker;
  if (parcel->is_reply)
    group_leadership_receive (group->lead, &parcel->reply);
  else
    group_receive_command (group, &self, &parcel->order, parcel->wants_counts);
  talloc_free (parcel);
}

static group_local_message_t *
group_create_parcel (group_t *group)
{
  group_local_message_t *parcel = talloc_zero (group, group_local_message_t);

  parcel->task.run = parcel_run;
  parcel->group = group;
  return parcel;
}

/* Hand the own rank's reply to the own coordinator, from the loop.  */
void
group_post_reply (group_t *group, const group_reply_t *reply)
{
  group_local_message_t *parcel = group_create_parcel (group);

  parcel->is_reply = true;
  parcel->reply = *reply;
  worker_post (group->options.worker, &parcel->task);
}

/* Hand the own coordinator's order to the own rank, from the loop.  */
void
group_post_command (group_t *group, const group_command_t *order,
                    bool wants_counts)
{
  group_local_message_t *parcel = group_create_parcel (group);

  parcel->order = *order;
  parcel->wants_counts = wants_counts;
  worker_post (group->options.worker, &parcel->task);
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

/* Create the membership of UPSTREAM in its group.  Returns NULL with the
   status message set when there is no such engine plug-in.  */
group_t *
group_create (TALLOC_CTX *parent, const group_options_t *options,
              const settings_t *settings, const upstream_t *upstream)
{
  group_t *group = talloc_zero (parent, group_t);
  group_rank_options_t rank_options
      = { .rank = (unsigned)upstream->rank,
          .incarnation = node_incarnation (options->node),
          .read_interval = timespec_from_ms (READ_INTERVAL_MS),
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
  group->led_at = group_now (group);
  group->engine
      = group->engine_ops->create (options->worker, options->engine_url);
  rank_options.data = group;
  group->state = group_rank_create (group, &rank_options, group_now (group));
  group->peers = talloc_zero_array (group, group_peer_t, group->rank_count);
  group->lead = group_leadership_create (group);
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

/* Put new settings in force.  A group's ranks do not change while it runs;
   their addresses and the placement policy may.  */
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
  group_leadership_configure (group->lead);
}

/* Do what is due; a few times a second.  */
void
group_tick (group_t *group)
{
  group_rank_tick (group->state, group_now (group));
  group_leadership_tick (group->lead);
}
