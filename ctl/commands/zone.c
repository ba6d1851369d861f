#include "ctl/mark.h"
#include "kernel/plugin.h"

#include <string.h>

static int
zone_run (ctl_t *ctl, int argc, char **argv)
{
  if (argc == 3 && strcmp (argv[1], "out") == 0)
    return mark_change (ctl, MARK_ZONE_OUT, argv[2], true);
  if (argc == 3 && strcmp (argv[1], "in") == 0)
    return mark_change (ctl, MARK_ZONE_OUT, argv[2], false);
  return CTL_USAGE;
}

static const command_ops_t zone_ops = {
  .usage = "out|in ZONE",
  .needs_store = true,
  .needs_reason = true,
  .run = zone_run,
};

PLUGIN_REGISTER (zone, PLUGIN_COMMAND, "zone",
                 "take an availability zone out of service or back in",
                 &zone_ops);
