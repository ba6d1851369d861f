#ifndef SISKIN_COMMON_GOSSIP_H
#define SISKIN_COMMON_GOSSIP_H

#include "common/link.h"
#include "plugins/gossip.h"

#include <sys/queue.h>

/* What relays learn and tell each other through the pilots.  A relay sends an
   update to a few pilots; a pilot keeps it and passes it on to all relays,
   also to those that connect later.  Both also repeat some of what they know
   to one peer at a time, for those that have missed an update.  Each kind of
   record is a topic, a plug-in with a table of its own.  Records are merged in
   any order and any number of times.  */
typedef struct gossip gossip_t;

enum
{
  GOSSIP_REPEAT_INTERVAL_MS = 2000,
  GOSSIP_REPEAT_RECORDS = 8 /* of each topic at a time */
};

/* Create a table for each topic that is linked in.  Returns NULL when memory
   is exhausted.  */
gossip_t *gossip_create (TALLOC_CTX *parent, const clock_source_t *clock);
void gossip_destroy (gossip_t *gossip);
/* Returns the table of the topic NAME, which is owned by GOSSIP.  */
void *gossip_table (const gossip_t *gossip, const char *name);
bool gossip_take_update (const gossip_t *gossip, TALLOC_CTX *parent,
                         frame_t *frame);
bool gossip_merge (const gossip_t *gossip, TALLOC_CTX *parent, frame_t *frame);
void gossip_send_all (const gossip_t *gossip, link_t *link);
/* Sends at most MAX records of each topic, other ones in each TURN.  */
void gossip_send_some (const gossip_t *gossip, link_t *link, unsigned turn,
                       unsigned max);

#endif
