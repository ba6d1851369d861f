#include "ctl/report.h"
#include "ctl/revision.h"
#include "ctl/survey.h"
#include "kernel/plugin.h"

/* Return the error of PEER, or its load if it reported one.  */
static const char *
status_describe (TALLOC_CTX *parent, const survey_peer_t *peer)
{
  const frame_load_t *load = &peer->load;

  if (!peer->has_replied)
    return peer->error;
  if (!peer->has_load)
    return "";
  return talloc_asprintf (parent, "running %llu/%llu, queued %llu%s%s",
                          (unsigned long long)load->outstanding_requests,
                          (unsigned long long)load->limit_requests,
                          (unsigned long long)load->queued_requests,
                          load->is_cold ? ", cold" : "",
                          load->is_leaving ? ", leaving" : "");
}

static void
status_print_peer (const ctl_t *ctl, const survey_peer_t *peer)
{
  const char *text = status_describe (ctl->memory, peer);

  if (peer->has_replied)
    report_line (ctl, "%-24s %-6s %-16s revision %llu%s, %llu ms old  %s",
                 peer->name, peer->role, peer->zone,
                 (unsigned long long)peer->first_revision,
                 survey_peer_is_current (peer) ? "" : " (outdated)",
                 (unsigned long long)peer->revision_age_ms, text);
  else
    report_line (ctl, "%-24s %-6s %-16s %s", peer->name, peer->role,
                 peer->zone, text);
}

static json_t *
status_peer_json (const survey_peer_t *peer)
{
  json_t *object = survey_peer_json (peer);

  if (peer->has_load)
    json_object_set_new (
        object, "load",
        json_pack ("{s:I,s:I,s:I,s:b,s:b}", "running",
                   (json_int_t)peer->load.outstanding_requests, "limit",
                   (json_int_t)peer->load.limit_requests, "queued",
                   (json_int_t)peer->load.queued_requests, "cold",
                   (int)peer->load.is_cold, "leaving",
                   (int)peer->load.is_leaving));
  return object;
}

/* Print the revision, the zones out of service and the draining upstreams.  */
static void
status_print_marks (const ctl_t *ctl, const settings_t *settings)
{
  const zone_t *zone;
  const upstream_t *upstream;

  report_line (ctl, "revision %llu by %s at %s: %s",
               (unsigned long long)settings->revision, settings->changed_by,
               settings->changed_at, settings->changed_why);
  STAILQ_FOREACH (zone, &settings->zones, link)
    {
      if (zone->is_out || !zone->serves)
        report_line (ctl, "zone %s %s", zone->name,
                     zone->is_out ? "is out"
                                  : "is not in service by the rules");
    }
  STAILQ_FOREACH (upstream, &settings->upstreams, link)
    {
      if (upstream->is_draining)
        report_line (ctl, "upstream %s is draining", upstream->name);
    }
}

static int
status_run (ctl_t *ctl, int argc, char **argv)
{
  stored_settings_t current;
  const survey_peer_t *peer;
  survey_t *survey;
  unsigned current_count = 0;
  unsigned probed_count = 0;
  json_t *list;
  int result;

  (void)argv;
  if (argc != 1)
    return CTL_USAGE;
  result = revision_read (ctl, &current);
  if (result != CTL_OK)
    return result;
  if (current.document == NULL)
    {
      report_error (ctl, "the store has no settings yet");
      return CTL_ERROR;
    }
  survey = survey_run (ctl, &current, 0);
  if (survey == NULL)
    return CTL_ERROR;
  status_print_marks (ctl, survey->settings);
  list = json_array ();
  STAILQ_FOREACH (peer, &survey->peers, link)
    {
      probed_count += peer->ops != NULL;
      current_count += survey_peer_is_current (peer);
      status_print_peer (ctl, peer);
      json_array_append_new (list, status_peer_json (peer));
    }
  report_line (ctl, "%u of %u probed processes have revision %llu",
               current_count, probed_count,
               (unsigned long long)survey->settings->revision);
  report_json_set_number (ctl, "revision", survey->settings->revision);
  report_json_set (ctl, "processes", list);
  if (node_settings_revision (survey->node) > survey->settings->revision)
    {
      report_error (ctl,
                    "processes have revision %llu: the store was put back to "
                    "an older state; see siskinctl restore",
                    (unsigned long long)node_settings_revision (survey->node));
      return CTL_INCOMPLETE;
    }
  return current_count == probed_count ? CTL_OK : CTL_INCOMPLETE;
}

static const command_ops_t status_ops = {
  .usage = "",
  .needs_store = true,
  .run = status_run,
};

PLUGIN_REGISTER (status, PLUGIN_COMMAND, "status",
                 "show the revision and load of every process", &status_ops);
