#include "kernel/plugin.h"

#include "kernel/status.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

SLIST_HEAD (plugin_list, plugin);

static struct plugin_list registry[PLUGIN_KIND_COUNT];

static const char *const kind_names[PLUGIN_KIND_COUNT] = {
  [PLUGIN_ADMISSION] = "admission", [PLUGIN_CATALOG] = "catalog",
  [PLUGIN_COMMAND] = "command",     [PLUGIN_EGRESS] = "egress",
  [PLUGIN_ENGINE] = "engine",       [PLUGIN_FRONTEND] = "frontend",
  [PLUGIN_INGRESS] = "ingress",     [PLUGIN_JOURNAL] = "journal",
  [PLUGIN_ORDER] = "order",         [PLUGIN_PICK] = "pick",
  [PLUGIN_PLACEMENT] = "placement", [PLUGIN_RANK_ENGINE] = "rank-engine",
  [PLUGIN_STORE] = "store",         [PLUGIN_UPSTREAM] = "upstream",
};

/* Add PLUGIN to the registry, sorted by name within its kind.  Runs before
   main, on one thread; the registry does not change afterwards.  Two plug-ins
   of one kind and name are a build error and abort the program.  */
void
plugin_register (plugin_t *plugin)
{
  struct plugin_list *list = &registry[plugin->kind];
  plugin_t *entry;
  plugin_t *before = NULL;

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
      before = entry;
    }
  if (before == NULL)
    SLIST_INSERT_HEAD (list, plugin, link);
  else
    SLIST_INSERT_AFTER (before, plugin, link);
}

/* Return the plug-in NAME of KIND.  Returns NULL and sets the status message,
   which lists the names that exist, when there is none.  */
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

/* Return the operations table of plug-in NAME of KIND, or NULL with the
   status message set.  The caller casts it to the kind's table type.  */
const void *
plugin_ops (plugin_kind_t kind, const char *name)
{
  const plugin_t *plugin = plugin_find (kind, name);

  return plugin == NULL ? NULL : plugin->ops;
}

/* Return the plug-in of KIND after PREVIOUS, or the first one for NULL, in
   order of name; NULL at the end.  */
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
