#include "ctl/report.h"
#include "ctl/revision.h"
#include "ctl/rules.h"
#include "kernel/plugin.h"

/* Re-read the current settings and report that PROPOSED conflicts with
   them.  */
static int
apply_report_conflict (ctl_t *ctl, const settings_parts_t *proposed)
{
  stored_settings_t current;
  int result = revision_read (ctl, &current);

  if (result != CTL_OK)
    return result;
  revision_report_conflict (ctl, &current, proposed);
  return CTL_CONFLICT;
}

/* Write the files as the next revision unless the store has moved past the
   revision that the operator based them on.  */
static int
apply_run (ctl_t *ctl, int argc, char **argv)
{
  stored_settings_t current;
  settings_parts_t *parts;
  uint64_t based_on;
  int result;

  if (argc != 4 || !report_parse_number (argv[3], &based_on))
    return CTL_USAGE;
  result = revision_read (ctl, &current);
  if (result != CTL_OK)
    return result;
  parts = revision_copy (ctl, &current);
  if (!settings_files_load (ctl, argv[1], argv[2], parts))
    return CTL_ERROR;
  if (current.parts->revision != based_on)
    {
      revision_report_conflict (ctl, &current, parts);
      return CTL_CONFLICT;
    }
  result = revision_write (ctl, &current, parts);
  if (result == CTL_CONFLICT)
    return apply_report_conflict (ctl, parts);
  if (result != CTL_OK)
    return result;
  report_line (ctl, "accepted as revision %llu",
               (unsigned long long)parts->revision);
  return CTL_OK;
}

static const command_ops_t apply_ops = {
  .usage = "RULES.toml INVENTORY.csv BASED-ON-REVISION",
  .needs_store = true,
  .needs_reason = true,
  .run = apply_run,
};

PLUGIN_REGISTER (apply, PLUGIN_COMMAND, "apply",
                 "write rules and inventory as the next revision", &apply_ops);
