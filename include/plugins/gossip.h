#ifndef SISKIN_PLUGINS_GOSSIP_H
#define SISKIN_PLUGINS_GOSSIP_H

#include "common/frame.h"
#include "kernel/clock.h"

#include <stdbool.h>
#include <talloc.h>

/* A topic of the gossip among relays (common/gossip.h): a table of what was
   learned, and the frames that carry its records.  */
typedef struct gossip_topic_ops
{
  frame_type_t type; /* of the frames */
  /* Create an empty table.  Returns NULL when memory is exhausted.  */
  void *(*create) (TALLOC_CTX *parent, const clock_source_t *clock);
  /* Take a record that this process has changed since it was last taken, as a
     frame with is_update.  Data of FRAME is owned by PARENT.  Returns false if
     there is none.  */
  bool (*take_update) (void *table, TALLOC_CTX *parent, frame_t *frame);
  /* Merge the record in *FRAME.  Returns whether it should be passed on: it
     was sent as an update, and has changed something here.  *FRAME is then the
     sum of what was known and the record.  */
  bool (*merge) (void *table, TALLOC_CTX *parent, frame_t *frame);
  /* Return all records, *COUNT of them, as frames without is_update in an
     array owned by PARENT.  */
  frame_t *(*list) (void *table, TALLOC_CTX *parent, unsigned *count);
} gossip_topic_ops_t;

/* Names of the topics.  */
#define GOSSIP_SUSPECTS "suspects"       /* table: suspects_t */
#define GOSSIP_RATE_LIMITS "rate-limits" /* table: rate_limits_t */

#endif
