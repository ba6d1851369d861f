#ifndef SISKIN_COMMON_GOSSIP_H
#define SISKIN_COMMON_GOSSIP_H

#include "common/link.h"

#include <sys/queue.h>

/* What relays learn and tell each other through the pilots.  A relay sends its
   news to a few pilots; a pilot keeps it and passes it on to all relays, also
   to those that connect later.  Each kind of news is a topic with a table of
   its own, whose records are merged in any order and any number of times.  */
typedef struct gossip gossip_t;

typedef struct gossip_topic_ops
{
  frame_type_t type; /* of the frames that carry its records */
  /* Take a record that this process has changed since it was last taken.  Data
     of FRAME is owned by PARENT.  Returns false if there is none.  */
  bool (*take_news) (void *table, TALLOC_CTX *parent, frame_t *frame);
  /* Merge the record in *FRAME.  Returns whether it was news here; *FRAME is
     then the sum of what was known and the record.  */
  bool (*merge) (void *table, TALLOC_CTX *parent, frame_t *frame);
  /* Return all records, *COUNT of them, in an array owned by PARENT.  */
  frame_t *(*list) (void *table, TALLOC_CTX *parent, unsigned *count);
} gossip_topic_ops_t;

gossip_t *gossip_create (TALLOC_CTX *parent);
void gossip_destroy (gossip_t *gossip);
status_t gossip_add_topic (gossip_t *gossip, const gossip_topic_ops_t *ops,
                           void *table);
bool gossip_take_news (const gossip_t *gossip, TALLOC_CTX *parent,
                       frame_t *frame);
bool gossip_merge (const gossip_t *gossip, TALLOC_CTX *parent, frame_t *frame);
void gossip_send_all (const gossip_t *gossip, link_t *link);
/* Sends at most MAX records of each topic, other ones in each TURN.  */
void gossip_send_some (const gossip_t *gossip, link_t *link, unsigned turn,
                       unsigned max);

#endif
