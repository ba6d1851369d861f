#include "ctl/history.h"
#include "ctl/report.h"
#include "kernel/plugin.h"

enum
{
  DEFAULT_COUNT = 20
};

static int
history_run (ctl_t *ctl, int argc, char **argv)
{
  change_list_t changes = STAILQ_HEAD_INITIALIZER (changes);
  const change_t *change;
  uint64_t count = DEFAULT_COUNT;
  json_t *list;

  if (argc > 2 || (argc == 2 && !report_parse_number (argv[1], &count))
      || count == 0 || count > MAX_HISTORY_ENTRIES)
    return CTL_USAGE;
  if (history_read (ctl, count, &changes) != CTL_OK)
    return CTL_UNAVAILABLE;
  list = json_array ();
  STAILQ_FOREACH (change, &changes, link)
    {
      report_line (ctl,
                   "revision %llu  %s  by %s  change %s\n  why:  %s\n"
                   "  what: %s",
                   (unsigned long long)change->revision, change->when,
                   change->who, change->id, change->why, change->what);
      json_array_append_new (list, history_json (change));
    }
  report_json_set (ctl, "history", list);
  return CTL_OK;
}

static const command_ops_t history_ops = {
  .usage = "[COUNT]",
  .needs_store = true,
  .run = history_run,
};

PLUGIN_REGISTER (history, PLUGIN_COMMAND, "history",
                 "list the newest changes: who, when, why and what",
                 &history_ops);
