#include "kernel/plugin.h"

#include "kernel/status.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

SLIST_HEAD (plugin_list, plugin);

static struct plugin_list registry[PLUGIN_KIND_COUNT];

static const char *const kind_names[PLUGIN_KIND_COUNT] = {
  [PLUGIN_ADMISSION] = "admission",
  [PLUGIN_CATALOG] = "catalog",
  [PLUGIN_COMMAND] = "command",
  [PLUGIN_EGRESS] = "egress",
  [PLUGIN_ENGINE] = "engine",
  [PLUGIN_FRONTEND] = "frontend",
  [PLUGIN_GOSSIP] = "gossip",
  [PLUGIN_INGRESS] = "ingress",
  [PLUGIN_JOURNAL] = "journal",
  [PLUGIN_ORDER] = "order",
  [PLUGIN_PICK] = "pick",
  [PLUGIN_PLACEMENT] = "placement",
  [PLUGIN_RANK_ENGINE] = "rank-engine",
  [PLUGIN_STORE] = "store",
  [PLUGIN_UPSTREAM] = "upstream",
};

/* Add PLUGIN to the registry, sorted by name within its kind.  Called by
   constructors, on one thread before main; the registry does not change
   afterwards.  Two plug-ins of the same kind and name are a build error and
   abort the program.  */
void
plugin_register (plugin_t *plugin)
{
  struct plugin_list *list = &registry[plugin->kind];
  plugin_t *entry;
  plugin_t *previous = NULL;

  SLIST_FOREACH (entry, list, link)
    {
      int order = strcmp (entry->name, plugin->name);

      if (order == 0)
        {
          fprintf (stderr, "duplicate %s plug-in %s\n",
                   kind_names[plugin->kind], plugin->name);
          abort ();
        }
      if (order > 0)
        break;
      previous = entry;
    }
  if (previous == NULL)
    SLIST_INSERT_HEAD (list, plugin, link);
  else
    SLIST_INSERT_AFTER (previous, plugin, link);
}

/* Return the plug-in NAME of KIND.  When there is none, returns NULL and sets
   the status message, which lists the registered names.  */
const plugin_t *
plugin_find (plugin_kind_t kind, const char *name)
{
  const plugin_t *plugin;
  char known[256] = "";
  size_t used = 0;

  SLIST_FOREACH (plugin, &registry[kind], link)
    {
      if (strcmp (plugin->name, name) == 0)
        return plugin;
      if (used < sizeof known)
        used += (size_t)snprintf (known + used, sizeof known - used, "%s%s",
                                  used == 0 ? "" : ", ", plugin->name);
    }
  status_set (STATUS_NOT_FOUND, "no %s plug-in named '%s' (known: %s)",
              kind_names[kind], name, known);
  return NULL;
}

/* Return the operations table of the plug-in NAME of KIND, or NULL with the
   status message set.  The caller converts it to the kind's table type.  */
const void *
plugin_ops (plugin_kind_t kind, const char *name)
{
  const plugin_t *plugin = plugin_find (kind, name);

  return plugin == NULL ? NULL : plugin->ops;
}

/* Iterate over the plug-ins of KIND by name: return the one after PREVIOUS, or
   the first one when PREVIOUS is NULL.  Returns NULL at the end.  */
const plugin_t *
plugin_next (plugin_kind_t kind, const plugin_t *previous)
{
  if (previous == NULL)
    return SLIST_FIRST (&registry[kind]);
  return SLIST_NEXT (previous, link);
}

/* Return the lower-case name of KIND.  */
const char *
plugin_kind_name (plugin_kind_t kind)
{
  return kind_names[kind];
}
