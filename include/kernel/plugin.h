#ifndef SISKIN_KERNEL_PLUGIN_H
#define SISKIN_KERNEL_PLUGIN_H

#include <sys/queue.h>

/* The kinds of plug-in.  Each has its own type of operations table, declared
   in the header of that kind under include/plugins/, or in
   include/ctl/command.h for commands.  */
typedef enum plugin_kind
{
  PLUGIN_ADMISSION, /* admission limit of an upstream */
  /* Parser of the platform's store, for relay and pilot: rules, listings of
     upstreams and zones out of service.  */
  PLUGIN_CATALOG,
  PLUGIN_COMMAND, /* subcommand of siskinctl */
  PLUGIN_EGRESS,  /* transport from relay to upstreams */
  /* Client of a rank's model engine, for the agent.  It uses this project's
     own protocol, in which the agents coordinate switches of the map.  */
  PLUGIN_ENGINE,
  PLUGIN_FRONTEND,  /* client protocol of the entry */
  PLUGIN_GOSSIP,    /* topic of what relays tell each other */
  PLUGIN_INGRESS,   /* client protocol of the relay */
  PLUGIN_JOURNAL,   /* claims on idempotency keys */
  PLUGIN_ORDER,     /* queueing policy: order of queued requests */
  PLUGIN_PICK,      /* choice of an upstream for a request */
  PLUGIN_PLACEMENT, /* assignment of experts to ranks */
  /* Client of a rank's model engine, for the pilot.  It uses the platform's
     protocol, in which the pilot alone commands all engines of a group.  */
  PLUGIN_RANK_ENGINE,
  PLUGIN_STORE,    /* client of the key-value store */
  PLUGIN_UPSTREAM, /* transport from agent to its upstream */
  PLUGIN_KIND_COUNT
} plugin_kind_t;

/* An implementation of one kind of plug-in, which registers itself.  */
typedef struct plugin
{
  SLIST_ENTRY (plugin) link;
  plugin_kind_t kind;
  const char *name;
  const char *summary; /* one line for the help text */
  const void *ops;     /* the kind's operations table */
} plugin_t;

void plugin_register (plugin_t *plugin);
const plugin_t *plugin_find (plugin_kind_t kind, const char *name);
const void *plugin_ops (plugin_kind_t kind, const char *name);
const plugin_t *plugin_next (plugin_kind_t kind, const plugin_t *previous);
const char *plugin_kind_name (plugin_kind_t kind);

/* Register OPS as the plug-in NAME of KIND before main starts.  */
#define PLUGIN_REGISTER(symbol, plugin_kind, plugin_name, text, table)        \
  static plugin_t symbol##_plugin = { .kind = (plugin_kind),                  \
                                      .name = (plugin_name),                  \
                                      .summary = (text),                      \
                                      .ops = (table) };                       \
  __attribute__ ((constructor)) static void symbol##_register (void)          \
  {                                                                           \
    plugin_register (&symbol##_plugin);                                       \
  }                                                                           \
  struct plugin

#endif
