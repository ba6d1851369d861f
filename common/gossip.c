#include "common/gossip.h"

#include "kernel/plugin.h"

#include <limits.h>
#include <string.h>

typedef struct gossip_topic
{
  SLIST_ENTRY (gossip_topic) link;
  const char *name;
  const gossip_topic_ops_t *ops;
  void *table;
} gossip_topic_t;

struct gossip
{
  SLIST_HEAD (, gossip_topic) topics;
};

static bool
gossip_add_topic (gossip_t *gossip, const plugin_t *plugin,
                  const clock_source_t *clock)
{
  gossip_topic_t *topic = talloc_zero (gossip, gossip_topic_t);

  if (topic == NULL)
    return false;
  topic->name = plugin->name;
  topic->ops = plugin->ops;
  topic->table = topic->ops->create (topic, clock);
  SLIST_INSERT_HEAD (&gossip->topics, topic, link);
  return topic->table != NULL;
}

/* Create a gossip with a table for each topic that is linked in.  */
gossip_t *
gossip_create (TALLOC_CTX *parent, const clock_source_t *clock)
{
  gossip_t *gossip = talloc_zero (parent, gossip_t);
  const plugin_t *plugin = plugin_next (PLUGIN_GOSSIP, NULL);

  if (gossip == NULL)
    return NULL;
  SLIST_INIT (&gossip->topics);
  for (; plugin != NULL; plugin = plugin_next (PLUGIN_GOSSIP, plugin))
    {
      if (gossip_add_topic (gossip, plugin, clock))
        continue;
      talloc_free (gossip);
      return NULL;
    }
  return gossip;
}

/* Free GOSSIP and the tables of its topics.  */
void
gossip_destroy (gossip_t *gossip)
{
  talloc_free (gossip);
}

/* Return the table of the topic NAME, or NULL if it is not linked in.  */
void *
gossip_table (const gossip_t *gossip, const char *name)
{
  const gossip_topic_t *topic;

  SLIST_FOREACH (topic, &gossip->topics, link)
    {
      if (strcmp (topic->name, name) == 0)
        return topic->table;
    }
  return NULL;
}

/* Take a record of any topic that this process has changed since it was last
   taken.  */
bool
gossip_take_update (const gossip_t *gossip, TALLOC_CTX *parent, frame_t *frame)
{
  const gossip_topic_t *topic;

  SLIST_FOREACH (topic, &gossip->topics, link)
    {
      if (topic->ops->take_update (topic->table, parent, frame))
        return true;
    }
  return false;
}

/* Merge *FRAME if it belongs to a topic.  Returns whether it should be
   passed on.  */
bool
gossip_merge (const gossip_t *gossip, TALLOC_CTX *parent, frame_t *frame)
{
  const gossip_topic_t *topic;

  SLIST_FOREACH (topic, &gossip->topics, link)
    {
      if (topic->ops->type == frame->header.type)
        return topic->ops->merge (topic->table, parent, frame);
    }
  return false;
}

/* Send COUNT of the records of TOPIC to the peer of LINK, from the one at
   FIRST on and after the last one from the start.  */
static void
topic_send (const gossip_topic_t *topic, link_t *link, unsigned first,
            unsigned count)
{
  TALLOC_CTX *scratch = talloc_new (topic);
  unsigned total = 0;
  const frame_t *frames = topic->ops->list (topic->table, scratch, &total);

  for (unsigned i = 0; i < total && i < count; i++)
    link_send (link, &frames[(first + i) % total]);
  talloc_free (scratch);
}

/* Send all records to the peer of LINK.  */
void
gossip_send_all (const gossip_t *gossip, link_t *link)
{
  gossip_send_some (gossip, link, 0, UINT_MAX);
}

/* Send at most MAX records of each topic to the peer of LINK, others in each
   TURN.  */
void
gossip_send_some (const gossip_t *gossip, link_t *link, unsigned turn,
                  unsigned max)
{
  const gossip_topic_t *topic;

  SLIST_FOREACH (topic, &gossip->topics, link)
    topic_send (topic, link, turn * max, max);
}
