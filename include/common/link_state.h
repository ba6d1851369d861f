#ifndef SISKIN_COMMON_LINK_STATE_H
#define SISKIN_COMMON_LINK_STATE_H

#include "common/link.h"
#include "kernel/memory_budget.h"

#include <sys/queue.h>

/* State shared by the source files of a link.  */

typedef struct outgoing_frame
{
  STAILQ_ENTRY (outgoing_frame) link;
  char *data;
  size_t size;
  size_t written;
} outgoing_frame_t;

struct link
{
  worker_t *worker;
  node_t *node;
  const link_ops_t *ops;
  void *data;
  stream_t *stream; /* NULL once closed */
  worker_timer_t *timer;
  bool is_connected; /* the stream is established */
  bool has_hello;    /* the peer's FRAME_HELLO was received */
  bool is_closed;
  const char *close_reason;
  char *peer_name;
  char *peer_zone;
  node_role_t peer_role;
  uint64_t peer_incarnation;
  struct timespec last_received;
  uint64_t peer_sent_ms; /* newest received sent_ms, on the peer's clock */
  uint64_t echo_ms;      /* newest sent_ms of ours that a settled peer had
                            received, or 0 */
  struct timespec last_sent;
  /* Settings revisions: in the peer's last frame, the newest one requested on
     this link, and one whose document was received on this link and was
     invalid.  */
  uint64_t reported_revision;
  uint64_t requested_revision;
  uint64_t rejected_revision;
  bool has_clock_offset;
  int64_t clock_offset_ms; /* upper bound of the peer's clock minus ours */
  struct timespec clock_offset_at;
  char *input;
  size_t input_used;
  STAILQ_HEAD (, outgoing_frame) output;
  size_t output_bytes;
  memory_holder_t memory; /* of input and output */
};

/* What the headers of frames tell of the settings (link_settings.c).  */
uint64_t link_now_ms (const link_t *link);
void link_update_echo (link_t *link, const frame_header_t *header);
void link_update_clock_offset (link_t *link, const frame_header_t *header);
void link_report_revision (link_t *link, const frame_header_t *header);
void link_request_newer_settings (link_t *link, const frame_header_t *header);
void link_send_settings (link_t *link);
void link_adopt_settings (link_t *link, const frame_t *frame);

#endif
