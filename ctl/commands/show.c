#include "ctl/revision.h"
#include "kernel/plugin.h"

#include <stdio.h>

static int
show_run (ctl_t *ctl, int argc, char **argv)
{
  revision_t current;
  int result;

  (void)argv;
  if (argc != 1)
    return CTL_USAGE;
  result = revision_read (ctl, &current);
  if (result != CTL_OK)
    return result;
  printf ("%s\n", settings_parts_format (ctl->memory, current.parts));
  return CTL_OK;
}

static const command_ops_t show_ops = {
  .usage = "",
  .needs_store = true,
  .run = show_run,
};

PLUGIN_REGISTER (show, PLUGIN_COMMAND, "show", "show the settings in force",
                 &show_ops);
