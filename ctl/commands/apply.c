#include "ctl/revision.h"
#include "ctl/rules.h"
#include "kernel/plugin.h"

#include <stdio.h>
#include <stdlib.h>

static int
apply_run (ctl_t *ctl, int argc, char **argv)
{
  revision_t current;
  unsigned long long based_on;
  int result;

  if (argc != 4)
    return CTL_USAGE;
  based_on = strtoull (argv[3], NULL, 10);
  result = revision_read (ctl, &current);
  if (result != CTL_OK)
    return result;
  if (current.parts->revision != based_on)
    {
      fprintf (
          stderr, "the settings are at revision %llu (by %s, %s), not %llu\n",
          (unsigned long long)current.parts->revision,
          current.parts->changed_by, current.parts->changed_why, based_on);
      return CTL_CONFLICT;
    }
  if (!rules_load (ctl, argv[1], argv[2], current.parts))
    return CTL_FAULTS;
  result = revision_write (ctl, &current, current.parts);
  if (result == CTL_OK)
    printf ("revision %llu is accepted\n",
            (unsigned long long)current.parts->revision);
  else
    fprintf (stderr, "%s\n", status_message ());
  return result;
}

static const command_ops_t apply_ops = {
  .usage = "RULES.toml INVENTORY.csv BASED-ON-REVISION",
  .needs_store = true,
  .run = apply_run,
};

PLUGIN_REGISTER (apply, PLUGIN_COMMAND, "apply",
                 "make rules and inventory the next revision", &apply_ops);
