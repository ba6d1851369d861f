#include "common/link_state.h"

#include "kernel/log.h"

/* The settings of a link's two sides: which revision the peer has, how old
   what it says of that is, and the request for a newer one.  */

enum
{
  CLOCK_OFFSET_WINDOW_MS = 60000 /* clocks hardly drift apart within it */
};

/* Return the time on this process's clock.  Never 0, which means no time in
   frame headers.  */
uint64_t
link_now_ms (const link_t *link)
{
  return (uint64_t)timespec_to_ms (
             clock_monotonic (worker_clock (link->worker)))
         + 1;
}

/* Reply to the peer's request for the settings.  */
void
link_send_settings (link_t *link)
{
  settings_t *settings = node_settings (link->node);
  frame_t frame = { .header = { .type = FRAME_SETTINGS } };

  if (settings == NULL)
    return;
  frame.body.settings.revision = settings->revision;
  frame.body.settings.document
      = (blob_t){ settings->document, settings->document_size };
  link_send (link, &frame);
  settings_release (settings);
}

/* Call on_revision if the peer's settings revision has changed.  */
void
link_report_revision (link_t *link, const frame_header_t *header)
{
  if (header->settings_revision == link->reported_revision)
    return;
  link->reported_revision = header->settings_revision;
  if (link->ops->on_revision != NULL)
    link->ops->on_revision (link, header->settings_revision,
                            header->confirmed_age_ms, link->data);
}

/* Update the latest time at which this process is known to have reached the
   peer.  A frame may have been in transit or unread for long, so its receipt
   proves nothing.  But it was sent after the peer received the sent_ms of ours
   that it echoes, so its information is no older than that.  Echoes of a peer
   that is not settled are ignored, because shortly after its start or a
   suspension its information may be as outdated as ours.  */
void
link_update_echo (link_t *link, const frame_header_t *header)
{
  link->peer_sent_ms = header->sent_ms;
  if (header->is_settled == 1 && header->echo_ms > link->echo_ms
      && header->echo_ms <= link_now_ms (link))
    link->echo_ms = header->echo_ms;
}

/* Update the upper bound of the clock offset.  The peer sent the frame after
   it received the echoed sent_ms, so its clock is ahead of ours by at most the
   difference of the two.  The smallest bound is kept for
   CLOCK_OFFSET_WINDOW_MS.  */
void
link_update_clock_offset (link_t *link, const frame_header_t *header)
{
  struct timespec now = clock_monotonic (worker_clock (link->worker));
  int64_t offset = (int64_t)header->sent_ms - (int64_t)header->echo_ms;

  if (header->echo_ms == 0)
    return;
  if (link->has_clock_offset && offset > link->clock_offset_ms
      && timespec_to_ms (timespec_subtract (now, link->clock_offset_at))
             < CLOCK_OFFSET_WINDOW_MS)
    return;
  link->has_clock_offset = true;
  link->clock_offset_ms = offset;
  link->clock_offset_at = now;
}

/* Report to the node that the peer's settings revision was confirmed, with the
   maximum age of that confirmation.  The age includes the frame's time in
   transit and the time that it waited while this process was frozen.  */
static void
link_confirm_revision (link_t *link, const frame_header_t *header)
{
  int64_t sent = (int64_t)header->sent_ms - link->clock_offset_ms;
  int64_t transit = (int64_t)link_now_ms (link) - sent;

  if (!link->has_clock_offset)
    return;
  node_confirm_settings (link->node, header->settings_revision,
                         header->confirmed_age_ms
                             + (uint64_t)(transit < 0 ? 0 : transit));
}

/* Confirm the peer's settings revision if it is ours too.  Request the peer's
   settings if they are newer, unless they were invalid on this link or were
   recently requested from another peer.  */
void
link_request_newer_settings (link_t *link, const frame_header_t *header)
{
  frame_t request = { .header = { .type = FRAME_SETTINGS_REQUEST } };

  link_confirm_revision (link, header);
  if (header->settings_revision == link->rejected_revision
      || !node_begin_settings_fetch (link->node, header->settings_revision))
    return;
  link->requested_revision = header->settings_revision;
  link_send (link, &request);
}

/* Adopt the settings in FRAME, which the peer has sent.  */
void
link_adopt_settings (link_t *link, const frame_t *frame)
{
  const frame_settings_t *body = &frame->body.settings;

  if (node_adopt_settings (link->node, body->document.data,
                           body->document.size)
      != STATUS_OK)
    {
      log_event (LOG_LEVEL_WARN, "settings-refused", "peer=%s error=\"%s\"",
                 link_peer_name (link), status_message ());
      link->rejected_revision = frame->header.settings_revision;
      return;
    }
  link_request_newer_settings (link, &frame->header);
}

/* Return the latest time at which the peer is known to have received data from
   this process, in milliseconds on the worker's clock; 0 when there is none.
   The time is that of sending, and only counts when the peer was settled (see
   frame_header_t).  */
uint64_t
link_last_contact_ms (const link_t *link)
{
  return link->echo_ms;
}
