#include "bench/model_state.h"

#include <stdlib.h>

enum
{
  LINK_SILENCE_US = 4000000, /* until a dead agent is noticed */
  RESTART_PATIENCE_US = 500000,
  SETTINGS_SPREAD_US = 500000 /* until the last process has new settings */
};

/* Something that the operators or the fates do.  */
typedef struct change_event
{
  model_change_t change;
  unsigned zone;
} change_event_t;

typedef struct settings_message
{
  settings_t *settings;
  model_entry_t *entry;       /* or */
  model_upstream_t *upstream; /* the receiver */
} settings_message_t;

static void
settings_arrive (model_t *model, void *data)
{
  settings_message_t *message = data;

  if (message->entry != NULL)
    router_configure (message->entry->router, message->settings);
  else
    {
      gate_configure (message->upstream->gate, message->settings);
      fleet_start_ready (model, message->upstream);
    }
  talloc_free (message);
}

/* Put the settings for the present zones in force at all processes, at each
   after a time of its own.  */
void
model_apply_settings (model_t *model)
{
  unsigned total = model->options.entries + model->options.upstreams;

  model->settings = model_settings (model);
  if (model->settings == NULL)
    abort ();
  for (unsigned i = 0; i < total; i++)
    {
      settings_message_t *message = talloc_zero (model, settings_message_t);

      message->settings = model->settings;
      if (i < model->options.entries)
        message->entry = &model->entries[i];
      else
        message->upstream = &model->upstreams[i - model->options.entries];
      if (model->revision == 1)
        settings_arrive (model, message);
      else
        model_post (
            model,
            (int64_t)(model_draw (&model->fate_random) % SETTINGS_SPREAD_US),
            settings_arrive, message);
    }
}

/* Entries notice that the agents of a failed zone are silent.  What was there
   may have run; these requests may be repeated.  */
static void
zone_notice_failure (model_t *model, void *data)
{
  change_event_t *event = data;
  model_request_t *request = LIST_FIRST (&model->open);

  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      model_upstream_t *upstream = &model->upstreams[i];

      for (size_t j = 0;
           j < upstream->linked_count && upstream->zone == event->zone; j++)
        router_set_reachable (
            model->entries[upstream->linked_entries[j]].router, upstream->name,
            0, false);
    }
  while (request != NULL)
    {
      model_request_t *next = LIST_NEXT (request, open_link);

      if (request->upstream != NULL && request->upstream->zone == event->zone)
        model_retry (model, request, REFUSAL_UPSTREAM, true);
      request = next;
    }
  talloc_free (event);
}

static void
zone_fail (model_t *model, const change_event_t *event)
{
  change_event_t *notice = talloc (model, change_event_t);
  model_request_t *request;

  LIST_FOREACH (request, &model->open, open_link)
    {
      if (request->upstream != NULL && request->upstream->zone == event->zone)
        gate_withdraw (request->upstream->gate, &request->work);
    }
  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      if (model->upstreams[i].zone != event->zone)
        continue;
      fleet_restart (model, &model->upstreams[i], false);
      model->upstreams[i].is_failed = true;
    }
  *notice = *event;
  model_post (model, LINK_SILENCE_US + RESTART_PATIENCE_US,
              zone_notice_failure, notice);
}

static void
zone_recover (model_t *model, const change_event_t *event)
{
  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      model_upstream_t *upstream = &model->upstreams[i];

      if (upstream->zone != event->zone)
        continue;
      upstream->is_failed = false;
      fleet_restart (model, upstream, false);
      for (size_t j = 0; j < upstream->linked_count; j++)
        {
          model_entry_t *entry = &model->entries[upstream->linked_entries[j]];

          model_report_to (model, upstream, entry);
          router_set_reachable (entry->router, upstream->name, 0, true);
        }
    }
}

static void
change_handle (model_t *model, void *data)
{
  change_event_t *event = data;

  switch (event->change)
    {
    case MODEL_ZONE_OUT:
      model->zones_out |= (uint64_t)1 << event->zone;
      break;
    case MODEL_ZONE_BACK_COLD:
      zone_recover (model, event);
      model->zones_out = 0;
      break;
    case MODEL_ZONE_BACK:
      model->zones_out = 0;
      break;
    case MODEL_ZONE_FAILS:
      zone_fail (model, event);
      break;
    case MODEL_ZONE_RECOVERS:
      zone_recover (model, event);
      break;
    }
  if (event->change <= MODEL_ZONE_BACK_COLD)
    model_apply_settings (model);
  talloc_free (event);
}

/* Have CHANGE happen to ZONE at AT_MS.  */
void
model_change_at (model_t *model, int64_t at_ms, model_change_t change,
                 unsigned zone)
{
  change_event_t *event = talloc (model, change_event_t);

  *event = (change_event_t){ change, zone };
  model_post (model, at_ms * 1000 - model->now_us, change_handle, event);
}
