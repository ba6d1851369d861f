#include "ctl/survey.h"

#include "ctl/report.h"
#include "ctl/revision.h"

#include <string.h>

enum
{
  MAX_CONCURRENT_PROBES = 128,
  STATUS_TIMEOUT_MS = 2000,
  CONFIRM_TIMEOUT_MS = 7000,
  RETRY_DELAY_MS = 200
};

static void survey_start_pending (survey_t *survey);

/* Stop probing PEER and start pending peers in its place.  */
static void
peer_finish (survey_peer_t *peer)
{
  if (peer->state == SURVEY_DONE)
    return;
  peer->state = SURVEY_DONE;
  TALLOC_FREE (peer->timer);
  peer->ops->stop (peer);
  peer->survey->active_probes--;
  survey_start_pending (peer->survey);
}

static void
peer_handle_deadline (worker_t *worker, void *data)
{
  survey_peer_t *peer = data;

  (void)worker;
  peer->timer = NULL;
  if (peer->error == NULL)
    peer->error = "timed out without a reply";
  peer_finish (peer);
}

/* Return the time until the deadline of PEER, not below 0.  */
static struct timespec
peer_remaining_time (const survey_peer_t *peer)
{
  struct timespec remaining = timespec_subtract (
      peer->deadline, clock_monotonic (peer->survey->ctl->clock));

  return remaining.tv_sec < 0 ? (struct timespec){ 0, 0 } : remaining;
}

/* Replace the timer of PEER.  */
static void
peer_set_timer (survey_peer_t *peer, struct timespec delay,
                worker_handler_t handler)
{
  TALLOC_FREE (peer->timer);
  peer->timer = worker_timer_start (peer->survey->ctl->worker, peer->survey,
                                    delay, handler, peer);
}

static void
peer_handle_retry (worker_t *worker, void *data)
{
  survey_peer_t *peer = data;

  (void)worker;
  peer->timer = NULL;
  peer_set_timer (peer, peer_remaining_time (peer), peer_handle_deadline);
  if (!peer->ops->start (peer))
    survey_handle_failure (peer, status_message ());
}

/* Finish PEER if it has the revision waited for.  An agent with a revision
   newer than the node's is finished only after the link has fetched those
   settings.  */
static void
peer_check_done (survey_peer_t *peer)
{
  if (peer->state == SURVEY_PROBING && peer->has_replied
      && peer->revision >= peer->survey->min_revision
      && (peer->ops != &survey_agent_probe
          || peer->revision <= node_settings_revision (peer->survey->node)))
    peer_finish (peer);
}

/* Check the peers again after the node has adopted newer settings.  */
static void
survey_handle_settings (worker_t *worker, void *data)
{
  survey_t *survey = data;
  survey_peer_t *peer;

  (void)worker;
  STAILQ_FOREACH (peer, &survey->peers, link)
    peer_check_done (peer);
}

/* Record the reply of PEER: its REVISION, confirmed REVISION_AGE_MS ago to be
   the newest, and its LOAD, which may be NULL.  */
void
survey_handle_reply (survey_peer_t *peer, uint64_t revision,
                     uint64_t revision_age_ms, const frame_load_t *load)
{
  if (!peer->has_replied)
    peer->first_revision = revision;
  peer->has_replied = true;
  peer->error = NULL;
  peer->revision = revision;
  peer->revision_age_ms = revision_age_ms;
  if (load != NULL)
    {
      peer->has_load = true;
      peer->load = *load;
    }
  peer_check_done (peer);
}

/* Handle the end of the probe of PEER, which failed with ERROR or, when ERROR
   is NULL, has got a reply.  Unless PEER is done, it is probed again if there
   is a revision to wait for and enough time left; otherwise it is
   finished.  */
void
survey_handle_failure (survey_peer_t *peer, const char *error)
{
  struct timespec remaining = peer_remaining_time (peer);

  if (peer->state == SURVEY_DONE)
    return;
  if (error != NULL)
    peer->error = talloc_strdup (peer, error);
  if (peer->survey->min_revision == 0
      || timespec_to_ms (remaining) <= RETRY_DELAY_MS)
    peer_finish (peer);
  else
    peer_set_timer (peer, timespec_from_ms (RETRY_DELAY_MS),
                    peer_handle_retry);
}

static void
peer_start (survey_peer_t *peer)
{
  survey_t *survey = peer->survey;

  peer->state = SURVEY_PROBING;
  survey->active_probes++;
  peer->deadline
      = timespec_add (clock_monotonic (survey->ctl->clock), survey->timeout);
  peer_set_timer (peer, survey->timeout, peer_handle_deadline);
  if (!peer->ops->start (peer))
    survey_handle_failure (peer, status_message ());
}

/* Start probes of pending peers up to the limit.  The survey is done when none
   is left.  */
static void
survey_start_pending (survey_t *survey)
{
  survey_peer_t *peer;

  STAILQ_FOREACH (peer, &survey->peers, link)
    {
      if (survey->active_probes >= MAX_CONCURRENT_PROBES)
        return;
      if (peer->state == SURVEY_PENDING)
        peer_start (peer);
    }
  survey->is_done = survey->active_probes == 0;
}

/* Add a peer; it is not probed if ADDRESS is empty.  */
static void
survey_add (survey_t *survey, const char *role, const char *name,
            const char *zone, const char *address,
            const survey_probe_ops_t *ops)
{
  survey_peer_t *peer = talloc_zero (survey, survey_peer_t);

  peer->survey = survey;
  peer->role = role;
  peer->name = name;
  peer->zone = zone;
  peer->address = address;
  peer->ops = address[0] == '\0' ? NULL : ops;
  if (peer->ops == NULL)
    {
      peer->state = SURVEY_DONE;
      peer->error = "not probed: no admin address in the inventory";
    }
  STAILQ_INSERT_TAIL (&survey->peers, peer, link);
}

/* Add the processes of the inventory.  */
static void
survey_add_inventory (survey_t *survey)
{
  const entry_vm_t *entry_vm;
  const upstream_t *upstream;

  STAILQ_FOREACH (entry_vm, &survey->settings->entry_vms, link)
    survey_add (survey, "entry", entry_vm->name, entry_vm->zone,
                entry_vm->admin, &survey_entry_probe);
  STAILQ_FOREACH (upstream, &survey->settings->upstreams, link)
    survey_add (survey, "agent", upstream->name, upstream->zone,
                upstream->address, &survey_agent_probe);
}

static survey_t *
survey_create (ctl_t *ctl, uint64_t min_revision)
{
  survey_t *survey = talloc_zero (ctl->memory, survey_t);

  STAILQ_INIT (&survey->peers);
  survey->ctl = ctl;
  survey->min_revision = min_revision;
  survey->timeout = timespec_from_ms (min_revision == 0 ? STATUS_TIMEOUT_MS
                                                        : CONFIRM_TIMEOUT_MS);
  survey->node = node_create (survey, NODE_CTL, "siskinctl", "", ctl->clock);
  survey->subscription.worker = ctl->worker;
  survey->subscription.handler = survey_handle_settings;
  survey->subscription.data = survey;
  node_subscribe (survey->node, &survey->subscription);
  return survey;
}

/* Probe the processes of the inventory in CURRENT for their revision, and let
   agents with an older one fetch CURRENT.  With a MIN_REVISION other than 0
   each process is probed until it has that revision or times out.  Returns
   when all probes have ended, or NULL, after reporting it, when CURRENT cannot
   be parsed.  */
survey_t *
survey_run (ctl_t *ctl, const stored_settings_t *current,
            uint64_t min_revision)
{
  survey_t *survey;

  if (current->document == NULL)
    {
      report_error (ctl, "the store has no settings");
      return NULL;
    }
  survey = survey_create (ctl, min_revision);
  if (node_adopt_settings (survey->node, current->document,
                           strlen (current->document))
      != STATUS_OK)
    {
      report_error (ctl, "cannot parse the current settings: %s",
                    status_message ());
      return NULL;
    }
  survey->settings = node_settings (survey->node);
  node_confirm_settings (survey->node, survey->settings->revision,
                         (uint64_t)timespec_to_ms (timespec_subtract (
                             clock_monotonic (ctl->clock), current->read_at)));
  survey_add_inventory (survey);
  survey_start_pending (survey);
  worker_run_until (ctl->worker, &survey->is_done);
  return survey;
}

/* Probe the agents at the COUNT ADDRESSES and wait for the end of the probes.
   The survey's node then has the newest settings of any of them.  */
survey_t *
survey_probe_agents (ctl_t *ctl, char **addresses, int count)
{
  survey_t *survey = survey_create (ctl, 0);

  for (int i = 0; i < count; i++)
    survey_add (survey, "agent", addresses[i], "", addresses[i],
                &survey_agent_probe);
  survey_start_pending (survey);
  worker_run_until (ctl->worker, &survey->is_done);
  return survey;
}

/* Return whether the latest reply of PEER has the revision of the survey's
   settings, read from the store, or a newer one.  */
bool
survey_peer_is_current (const survey_peer_t *peer)
{
  return peer->has_replied
         && peer->revision >= peer->survey->settings->revision;
}

/* Return the replies of PEER, or its error, as a new JSON object.  */
json_t *
survey_peer_json (const survey_peer_t *peer)
{
  json_t *object
      = json_pack ("{s:s,s:s,s:s,s:b}", "name", peer->name, "role", peer->role,
                   "zone", peer->zone, "answered", (int)peer->has_replied);

  if (peer->has_replied)
    {
      json_object_set_new (object, "found_revision",
                           json_integer ((json_int_t)peer->first_revision));
      json_object_set_new (object, "revision",
                           json_integer ((json_int_t)peer->revision));
      json_object_set_new (object, "confirmed_age_ms",
                           json_integer ((json_int_t)peer->revision_age_ms));
    }
  else
    json_object_set_new (object, "fault", json_string (peer->error));
  return object;
}

/* Wait until the processes that can be probed have REVISION, and report those
   that do not.  Returns CTL_OK or CTL_INCOMPLETE.  */
int
survey_await_revision (ctl_t *ctl, uint64_t revision)
{
  stored_settings_t current;
  const survey_peer_t *peer;
  survey_t *survey;
  unsigned confirmed_count = 0;
  unsigned probed_count = 0;
  json_t *missing = json_array ();
  int result = revision_read (ctl, &current);

  survey = result == CTL_OK ? survey_run (ctl, &current, revision) : NULL;
  if (survey == NULL)
    {
      json_decref (missing);
      report_error (ctl,
                    "the change was accepted; it is unknown which processes "
                    "have it");
      return CTL_INCOMPLETE;
    }
  STAILQ_FOREACH (peer, &survey->peers, link)
    {
      bool is_confirmed = peer->has_replied && peer->revision >= revision;

      probed_count += peer->ops != NULL;
      confirmed_count += is_confirmed;
      if (is_confirmed)
        continue;
      report_line (ctl, "not confirmed: %s %s in %s: %s", peer->role,
                   peer->name, peer->zone,
                   peer->has_replied ? "has an older revision" : peer->error);
      json_array_append_new (missing, survey_peer_json (peer));
    }
  report_line (ctl, "%u of %u probed processes confirm revision %llu",
               confirmed_count, probed_count, (unsigned long long)revision);
  report_json_set_number (ctl, "confirmed", confirmed_count);
  report_json_set_number (ctl, "asked", probed_count);
  report_json_set (ctl, "unconfirmed", missing);
  return confirmed_count == probed_count ? CTL_OK : CTL_INCOMPLETE;
}
