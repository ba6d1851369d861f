#include "ctl/mark.h"
#include "kernel/plugin.h"

static int
drain_run (ctl_t *ctl, int argc, char **argv)
{
  if (argc != 2)
    return CTL_USAGE;
  return mark_change (ctl, MARK_DRAINING, argv[1], true);
}

static int
undrain_run (ctl_t *ctl, int argc, char **argv)
{
  if (argc != 2)
    return CTL_USAGE;
  return mark_change (ctl, MARK_DRAINING, argv[1], false);
}

static const command_ops_t drain_ops = {
  .usage = "UPSTREAM",
  .needs_store = true,
  .needs_reason = true,
  .run = drain_run,
};

static const command_ops_t undrain_ops = {
  .usage = "UPSTREAM",
  .needs_store = true,
  .needs_reason = true,
  .run = undrain_run,
};

PLUGIN_REGISTER (drain, PLUGIN_COMMAND, "drain",
                 "stop sending new requests to an upstream", &drain_ops);
PLUGIN_REGISTER (undrain, PLUGIN_COMMAND, "undrain",
                 "send new requests to a draining upstream again",
                 &undrain_ops);
