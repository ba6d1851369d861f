#include "ctl/report.h"
#include "ctl/revision.h"
#include "kernel/plugin.h"

static void
show_print (const ctl_t *ctl, const settings_parts_t *parts)
{
  const schema_string_t *name;

  report_line (ctl, "# revision %llu by %s at %s, change %s\n# %s",
               (unsigned long long)parts->revision, parts->changed_by,
               parts->changed_at, parts->change_id, parts->changed_why);
  STAILQ_FOREACH (name, &parts->zones_out, link)
    report_line (ctl, "# zone %s is out", name->text);
  STAILQ_FOREACH (name, &parts->draining, link)
    report_line (ctl, "# upstream %s is draining", name->text);
  report_line (ctl, "# rules\n%s\n# inventory\n%s", parts->rules,
               parts->inventory);
}

static int
show_run (ctl_t *ctl, int argc, char **argv)
{
  stored_settings_t current;
  settings_parts_t *parts;
  uint64_t number = 0;
  int result;

  if (argc > 2 || (argc == 2 && !report_parse_number (argv[1], &number)))
    return CTL_USAGE;
  if (argc == 2)
    result = revision_read_by_number (ctl, number, &parts);
  else
    {
      result = revision_read (ctl, &current);
      parts = current.parts;
    }
  if (result != CTL_OK)
    return result;
  show_print (ctl, parts);
  json_object_update (
      ctl->result,
      json_loads (settings_parts_format (ctl->memory, parts), 0, NULL));
  return CTL_OK;
}

static const command_ops_t show_ops = {
  .usage = "[REVISION]",
  .needs_store = true,
  .run = show_run,
};

PLUGIN_REGISTER (show, PLUGIN_COMMAND, "show",
                 "show the current settings or an older revision", &show_ops);
