#include "ctl/survey.h"

#include "common/link.h"

/* Probes an agent by connecting to it as any peer does.  The header of every
   frame from the agent contains its revision.  Over the link, each side
   fetches settings that are newer than its own.  */

static void
probe_on_open (link_t *link, const frame_hello_t *hello, void *data)
{
  (void)link;
  (void)hello;
  (void)data;
}

static void
probe_on_frame (link_t *link, const frame_t *frame, void *data)
{
  survey_peer_t *peer = data;

  (void)link;
  if (peer->state != SURVEY_DONE && frame->header.type == FRAME_LOAD)
    survey_handle_reply (peer, frame->header.settings_revision,
                         frame->header.confirmed_age_ms, &frame->body.load);
}

static void
probe_on_revision (link_t *link, uint64_t revision, uint64_t revision_age_ms,
                   void *data)
{
  survey_peer_t *peer = data;

  (void)link;
  if (peer->state != SURVEY_DONE && peer->has_replied)
    survey_handle_reply (peer, revision, revision_age_ms, NULL);
}

static void
probe_on_closed (link_t *link, const char *reason, void *data)
{
  survey_peer_t *peer = data;

  (void)link;
  peer->probe = NULL;
  survey_handle_failure (peer, reason);
}

static const link_ops_t probe_ops = {
  .on_open = probe_on_open,
  .on_frame = probe_on_frame,
  .on_closed = probe_on_closed,
  .on_revision = probe_on_revision,
};

static bool
probe_start (survey_peer_t *peer)
{
  net_address_t address;

  if (net_address_parse (peer, peer->address, &address) != STATUS_OK)
    return false;
  peer->probe = link_connect (peer->survey->ctl->worker, peer->survey->node,
                              &address, &probe_ops, peer);
  return peer->probe != NULL;
}

static void
probe_stop (survey_peer_t *peer)
{
  link_t *link = peer->probe;

  if (link != NULL)
    link_close (link, "asked");
}

/* Probes an agent over a frame link.  */
const survey_probe_ops_t survey_agent_probe = {
  .start = probe_start,
  .stop = probe_stop,
};
