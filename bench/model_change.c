#include "bench/model_state.h"

#include <stdlib.h>

enum
{
  LINK_SILENCE_TIMEOUT_US = 4000000, /* for an entry to detect a dead agent */
  RESTART_TIMEOUT_US = 500000,   /* then the entry tries another upstream */
  SETTINGS_MAX_DELAY_US = 500000 /* for a process to receive new settings */
};

/* A change of a zone at a scheduled time.  */
typedef struct change_event
{
  model_change_t change;
  unsigned zone;
} change_event_t;

/* Settings on their way to an entry or to the agent of an upstream; the other
   pointer is NULL.  */
typedef struct settings_message
{
  settings_t *settings;
  model_entry_t *entry;
  model_upstream_t *upstream;
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

/* Apply the settings for the current state of the zones at every process,
   after a random delay for each; the first settings at once.  */
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
        model_schedule (model,
                        (int64_t)(splitmix64_next (&model->environment_random)
                                  % SETTINGS_MAX_DELAY_US),
                        settings_arrive, message);
    }
}

/* The entries detect that the agents of a failed zone are silent, and retry
   the requests that were sent there.  These may have run; the model assumes
   that they are safe to run twice.  */
static void
zone_detect_failure (model_t *model, void *data)
{
  change_event_t *event = data;
  model_request_t *request = LIST_FIRST (&model->unfinished);

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
      model_request_t *next = LIST_NEXT (request, unfinished_link);

      if (request->upstream != NULL && request->upstream->zone == event->zone)
        model_retry_request (model, request, REFUSAL_UPSTREAM, true);
      request = next;
    }
  talloc_free (event);
}

/* Fail the zone now; the entries detect it after their timeouts.  */
static void
zone_fail (model_t *model, const change_event_t *event)
{
  change_event_t *detection = talloc (model, change_event_t);
  model_request_t *request;

  LIST_FOREACH (request, &model->unfinished, unfinished_link)
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
  *detection = *event;
  model_schedule (model, LINK_SILENCE_TIMEOUT_US + RESTART_TIMEOUT_US,
                  zone_detect_failure, detection);
}

/* Start the zone's upstreams, cold, and connect them to their entries.  */
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

          model_send_report (model, upstream, entry);
          router_set_reachable (entry->router, upstream->name, 0, true);
        }
    }
}

static void
change_apply (model_t *model, void *data)
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

/* Schedule CHANGE of ZONE at AT_MS of the run.  */
void
model_schedule_change (model_t *model, int64_t at_ms, model_change_t change,
                       unsigned zone)
{
  change_event_t *event = talloc (model, change_event_t);

  *event = (change_event_t){ change, zone };
  model_schedule (model, at_ms * 1000 - model->now_us, change_apply, event);
}
