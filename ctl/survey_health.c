#include "ctl/survey.h"

#include "common/http_client.h"

#include <string.h>

enum
{
  MAX_BODY_BYTES = 4096
};

/* State of a probe of an entry, which does not listen for frames; its health
   endpoint reports its revision.  */
typedef struct health_probe
{
  survey_peer_t *peer;
  http_client_t *client;
  http_call_t *call;
  char body[MAX_BODY_BYTES];
  size_t body_size;
} health_probe_t;

static void
probe_on_head (http_call_t *call, const http_head_t *head, void *data)
{
  (void)call;
  (void)head;
  (void)data;
}

/* Append to the body; bytes beyond its capacity are dropped.  */
static bool
probe_on_data (http_call_t *call, const char *bytes, size_t size, void *data)
{
  health_probe_t *probe = data;
  size_t available = sizeof probe->body - probe->body_size;

  (void)call;
  if (size > available)
    size = available;
  memcpy (probe->body + probe->body_size, bytes, size);
  probe->body_size += size;
  return true;
}

static void
probe_on_done (http_call_t *call, status_t status, bool may_have_run,
               void *data)
{
  health_probe_t *probe = data;
  survey_peer_t *peer = probe->peer;
  json_t *root = json_loadb (probe->body, probe->body_size, 0, NULL);

  (void)call;
  (void)may_have_run;
  probe->call = NULL;
  if (status != STATUS_OK || root == NULL)
    survey_handle_failure (peer, status == STATUS_OK
                                     ? "malformed health response"
                                     : status_message ());
  else
    {
      survey_handle_reply (
          peer,
          (uint64_t)json_integer_value (json_object_get (root, "revision")),
          (uint64_t)json_integer_value (
              json_object_get (root, "confirmed_age_ms")),
          NULL);
      survey_handle_failure (peer, NULL);
    }
  json_decref (root);
}

static const http_call_ops_t probe_ops = {
  .on_head = probe_on_head,
  .on_data = probe_on_data,
  .on_done = probe_on_done,
};

static bool
probe_start (survey_peer_t *peer)
{
  health_probe_t *probe = peer->probe;
  char *url = talloc_asprintf (peer, "http://%s/health", peer->address);
  http_call_options_t options
      = { .method = "GET", .url = url, .timeout = peer->survey->timeout };

  if (probe == NULL)
    {
      probe = peer->probe = talloc_zero (peer, health_probe_t);
      probe->peer = peer;
      probe->client = http_client_create (probe, peer->survey->ctl->worker);
    }
  probe->body_size = 0;
  probe->call = http_call_start (probe->client, &options, &probe_ops, probe);
  return probe->call != NULL;
}

static void
probe_stop (survey_peer_t *peer)
{
  health_probe_t *probe = peer->probe;

  if (probe != NULL && probe->call != NULL)
    http_call_cancel (probe->call);
  if (probe != NULL)
    probe->call = NULL;
}

/* Probes an entry through its health endpoint.  */
const survey_probe_ops_t survey_entry_probe = {
  .start = probe_start,
  .stop = probe_stop,
};
