#include "ctl/survey.h"

#include "ctl/report.h"
#include "ctl/revision.h"

#include <string.h>

enum
{
  MAX_ASKED = 128, /* at a time */
  LOOK_TIMEOUT_MS = 2000,
  CONFIRM_TIMEOUT_MS = 7000,
  RETRY_MS = 200
};

static void survey_proceed (survey_t *survey);

static void
peer_finish (survey_peer_t *peer)
{
  if (peer->state == SURVEY_DONE)
    return;
  peer->state = SURVEY_DONE;
  TALLOC_FREE (peer->timer);
  peer->ops->stop (peer);
  peer->survey->running--;
  survey_proceed (peer->survey);
}

static void
peer_handle_deadline (worker_t *worker, void *data)
{
  survey_peer_t *peer = data;

  (void)worker;
  peer->timer = NULL;
  if (peer->fault == NULL)
    peer->fault = "no answer in time";
  peer_finish (peer);
}

static struct timespec
peer_left (const survey_peer_t *peer)
{
  struct timespec left = timespec_subtract (
      peer->deadline, clock_monotonic (peer->survey->ctl->clock));

  return left.tv_sec < 0 ? (struct timespec){ 0, 0 } : left;
}

static void
peer_arm (survey_peer_t *peer, struct timespec delay, worker_handler_t handler)
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
  peer_arm (peer, peer_left (peer), peer_handle_deadline);
  if (!peer->ops->start (peer))
    survey_handle_failure (peer, status_message ());
}

/* PEER is done once it has the revision waited for, and once settings newer
   than the store's have been fetched from it.  */
static void
peer_check (survey_peer_t *peer)
{
  if (peer->state == SURVEY_PROBING && peer->is_answered
      && peer->revision >= peer->survey->wanted
      && (peer->ops != &survey_frame_probe
          || peer->revision <= node_settings_revision (peer->survey->node)))
    peer_finish (peer);
}

static void
survey_handle_adoption (worker_t *worker, void *data)
{
  survey_t *survey = data;
  survey_peer_t *peer;

  (void)worker;
  STAILQ_FOREACH (peer, &survey->peers, link)
    peer_check (peer);
}

/* Note what PEER answered.  LOAD may be NULL.  */
void
survey_handle_reply (survey_peer_t *peer, uint64_t revision, uint64_t age_ms,
                     const frame_load_t *load)
{
  if (!peer->is_answered)
    peer->found_revision = revision;
  peer->is_answered = true;
  peer->fault = NULL;
  peer->revision = revision;
  peer->age_ms = age_ms;
  if (load != NULL)
    {
      peer->has_load = true;
      peer->load = *load;
    }
  peer_check (peer);
}

/* PEER cannot be asked, or has not the revision yet and its probe ended.  It
   is asked again while there is time and a revision to wait for.  */
void
survey_handle_failure (survey_peer_t *peer, const char *fault)
{
  struct timespec left = peer_left (peer);

  if (peer->state == SURVEY_DONE)
    return;
  if (fault != NULL)
    peer->fault = talloc_strdup (peer, fault);
  if (peer->survey->wanted == 0 || timespec_to_ms (left) <= RETRY_MS)
    peer_finish (peer);
  else
    peer_arm (peer, timespec_from_ms (RETRY_MS), peer_handle_retry);
}

static void
peer_start (survey_peer_t *peer)
{
  survey_t *survey = peer->survey;

  peer->state = SURVEY_PROBING;
  survey->running++;
  peer->deadline
      = timespec_add (clock_monotonic (survey->ctl->clock), survey->timeout);
  peer_arm (peer, survey->timeout, peer_handle_deadline);
  if (!peer->ops->start (peer))
    survey_handle_failure (peer, status_message ());
}

static void
survey_proceed (survey_t *survey)
{
  survey_peer_t *peer;

  STAILQ_FOREACH (peer, &survey->peers, link)
    {
      if (survey->running >= MAX_ASKED)
        return;
      if (peer->state == SURVEY_PENDING)
        peer_start (peer);
    }
  survey->is_done = survey->running == 0;
}

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
      peer->fault = "not asked: no admin address in the inventory";
    }
  STAILQ_INSERT_TAIL (&survey->peers, peer, link);
}

static void
survey_add_inventory (survey_t *survey)
{
  const entry_vm_t *entry_vm;
  const upstream_t *upstream;

  STAILQ_FOREACH (entry_vm, &survey->settings->entry_vms, link)
    survey_add (survey, "entry", entry_vm->name, entry_vm->zone,
                entry_vm->admin, &survey_health_probe);
  STAILQ_FOREACH (upstream, &survey->settings->upstreams, link)
    survey_add (survey, "agent", upstream->name, upstream->zone,
                upstream->address, &survey_frame_probe);
}

static survey_t *
survey_create (ctl_t *ctl, uint64_t wanted)
{
  survey_t *survey = talloc_zero (ctl->memory, survey_t);

  STAILQ_INIT (&survey->peers);
  survey->ctl = ctl;
  survey->wanted = wanted;
  survey->timeout
      = timespec_from_ms (wanted == 0 ? LOOK_TIMEOUT_MS : CONFIRM_TIMEOUT_MS);
  survey->node = node_create (survey, NODE_CTL, "siskinctl", "", ctl->clock);
  survey->subscription.worker = ctl->worker;
  survey->subscription.handler = survey_handle_adoption;
  survey->subscription.data = survey;
  node_subscribe (survey->node, &survey->subscription);
  return survey;
}

/* Ask the processes of the inventory in CURRENT, the newest settings, which
   revision they have, and hand these to those with an older one.  With WANTED
   a process is waited for until it has that revision.  Returns NULL, after
   reporting it, when CURRENT cannot be read.  */
survey_t *
survey_run (ctl_t *ctl, const revision_t *current, uint64_t wanted)
{
  survey_t *survey = survey_create (ctl, wanted);

  if (node_adopt_settings (survey->node, current->document,
                           strlen (current->document))
      != STATUS_OK)
    {
      report_error (ctl, "the settings in force cannot be read: %s",
                    status_message ());
      return NULL;
    }
  survey->settings = node_settings (survey->node);
  node_confirm_settings (survey->node, survey->settings->revision,
                         (uint64_t)timespec_to_ms (timespec_subtract (
                             clock_monotonic (ctl->clock), current->read_at)));
  survey_add_inventory (survey);
  survey_proceed (survey);
  worker_run_until (ctl->worker, &survey->is_done);
  return survey;
}

/* Ask the agents at the COUNT ADDRESSES for the newest settings that they
   have.  */
survey_t *
survey_probe_agents (ctl_t *ctl, char **addresses, int count)
{
  survey_t *survey = survey_create (ctl, 0);

  for (int i = 0; i < count; i++)
    survey_add (survey, "agent", addresses[i], "", addresses[i],
                &survey_frame_probe);
  survey_proceed (survey);
  worker_run_until (ctl->worker, &survey->is_done);
  return survey;
}

/* Return whether PEER has shown the newest revision.  */
bool
survey_peer_is_current (const survey_peer_t *peer)
{
  return peer->is_answered
         && peer->revision >= peer->survey->settings->revision;
}

/* Return what is known of PEER as a new JSON object.  */
json_t *
survey_peer_json (const survey_peer_t *peer)
{
  json_t *object
      = json_pack ("{s:s,s:s,s:s,s:b}", "name", peer->name, "role", peer->role,
                   "zone", peer->zone, "answered", (int)peer->is_answered);

  if (peer->is_answered)
    {
      json_object_set_new (object, "found_revision",
                           json_integer ((json_int_t)peer->found_revision));
      json_object_set_new (object, "revision",
                           json_integer ((json_int_t)peer->revision));
      json_object_set_new (object, "confirmed_age_ms",
                           json_integer ((json_int_t)peer->age_ms));
    }
  else
    json_object_set_new (object, "fault", json_string (peer->fault));
  return object;
}

/* Wait until the processes that can be asked have REVISION, and name those
   that have not.  Returns CTL_OK or CTL_INCOMPLETE.  */
int
survey_confirm (ctl_t *ctl, uint64_t revision)
{
  revision_t current;
  const survey_peer_t *peer;
  survey_t *survey;
  unsigned confirmed = 0;
  unsigned asked = 0;
  json_t *missing = json_array ();
  int result = revision_read (ctl, &current);

  survey = result == CTL_OK ? survey_run (ctl, &current, revision) : NULL;
  if (survey == NULL)
    {
      json_decref (missing);
      report_error (ctl, "the change is accepted; who has it is not known");
      return CTL_INCOMPLETE;
    }
  STAILQ_FOREACH (peer, &survey->peers, link)
    {
      bool has_it = peer->is_answered && peer->revision >= revision;

      asked += peer->ops != NULL;
      confirmed += has_it;
      if (has_it)
        continue;
      report_line (ctl, "not confirmed: %s %s in %s: %s", peer->role,
                   peer->name, peer->zone,
                   peer->is_answered ? "has an older revision" : peer->fault);
      json_array_append_new (missing, survey_peer_json (peer));
    }
  report_line (ctl, "%u of %u processes asked confirm revision %llu",
               confirmed, asked, (unsigned long long)revision);
  report_set_number (ctl, "confirmed", confirmed);
  report_set_number (ctl, "asked", asked);
  report_set (ctl, "unconfirmed", missing);
  return confirmed == asked ? CTL_OK : CTL_INCOMPLETE;
}
