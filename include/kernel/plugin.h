#ifndef SISKIN_KERNEL_PLUGIN_H
#define SISKIN_KERNEL_PLUGIN_H

#include <sys/queue.h>

/* What a plug-in is for; each kind has its own operations table type, named
   in the header of that kind under include/plugins/.  */
typedef enum plugin_kind
{
  PLUGIN_ADMISSION,
  PLUGIN_CATALOG,
  PLUGIN_COMMAND,
  PLUGIN_EGRESS,
  PLUGIN_ENGINE,
  PLUGIN_FRONTEND,
  PLUGIN_INGRESS,
  PLUGIN_JOURNAL,
  PLUGIN_ORDER,
  PLUGIN_PICK,
  PLUGIN_PLACEMENT,
  PLUGIN_RANK_ENGINE,
  PLUGIN_STORE,
  PLUGIN_UPSTREAM,
  PLUGIN_KIND_COUNT
} plugin_kind_t;

/* A self-registered implementation of one kind.  */
typedef struct plugin
{
  SLIST_ENTRY (plugin) link;
  plugin_kind_t kind;
  const char *name;
  const char *summary;
  const void *ops;
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
