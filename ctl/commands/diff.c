#include "ctl/diff.h"
#include "ctl/report.h"
#include "ctl/revision.h"
#include "ctl/rules.h"
#include "kernel/plugin.h"

static int
diff_print (ctl_t *ctl, const settings_parts_t *older,
            const settings_parts_t *newer)
{
  diff_t diff;

  diff_parts (ctl->memory, older, newer, &diff);
  if (STAILQ_EMPTY (&diff))
    report_line (ctl, "no differences");
  diff_report (ctl, "differences", &diff);
  return CTL_OK;
}

/* Print the differences from revision OLDER to revision NEWER.  */
static int
diff_revisions (ctl_t *ctl, uint64_t older, uint64_t newer)
{
  settings_parts_t *before;
  settings_parts_t *after;
  int result = revision_read_by_number (ctl, older, &before);

  if (result == CTL_OK)
    result = revision_read_by_number (ctl, newer, &after);
  return result == CTL_OK ? diff_print (ctl, before, after) : result;
}

/* Print the differences from the current settings to two files.  */
static int
diff_files (ctl_t *ctl, const char *rules, const char *inventory)
{
  stored_settings_t current;
  settings_parts_t *parts;
  int result = revision_read (ctl, &current);

  if (result != CTL_OK)
    return result;
  parts = revision_copy (ctl, &current);
  if (!settings_files_load (ctl, rules, inventory, parts))
    return CTL_ERROR;
  return diff_print (ctl, current.parts, parts);
}

static int
diff_run (ctl_t *ctl, int argc, char **argv)
{
  uint64_t older;
  uint64_t newer;
  stored_settings_t current;
  int result;

  if (argc == 3 && report_parse_number (argv[1], &older)
      && report_parse_number (argv[2], &newer))
    return diff_revisions (ctl, older, newer);
  if (argc == 3)
    return diff_files (ctl, argv[1], argv[2]);
  if (argc != 2 || !report_parse_number (argv[1], &older))
    return CTL_USAGE;
  result = revision_read (ctl, &current);
  if (result != CTL_OK)
    return result;
  return diff_revisions (ctl, older, current.parts->revision);
}

static const command_ops_t diff_ops = {
  .usage = "REVISION [REVISION] | RULES.toml INVENTORY.csv",
  .needs_store = true,
  .run = diff_run,
};

PLUGIN_REGISTER (diff, PLUGIN_COMMAND, "diff",
                 "show the differences between two revisions, or between "
                 "the current settings and files",
                 &diff_ops);
