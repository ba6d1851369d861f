#include "ctl/report.h"
#include "ctl/rules.h"
#include "kernel/plugin.h"

static int
check_run (ctl_t *ctl, int argc, char **argv)
{
  settings_parts_t *parts;

  if (argc != 3)
    return CTL_USAGE;
  parts = settings_parts_create (ctl->memory);
  if (!settings_files_load (ctl, argv[1], argv[2], parts))
    return CTL_ERROR;
  report_line (ctl, "%s and %s are valid", argv[1], argv[2]);
  return CTL_OK;
}

static const command_ops_t check_ops = {
  .usage = "RULES.toml INVENTORY.csv",
  .run = check_run,
};

PLUGIN_REGISTER (check, PLUGIN_COMMAND, "check",
                 "validate rules and inventory without applying them",
                 &check_ops);
