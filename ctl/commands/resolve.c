#include "ctl/history.h"
#include "ctl/report.h"
#include "kernel/plugin.h"

#include <string.h>

/* Report whether the change with the given id was written as the given
   revision.  If that revision does not exist, the write may still be in
   flight: it takes effect as long as the revision that it was based on is the
   current one.  */
static int
resolve_run (ctl_t *ctl, int argc, char **argv)
{
  uint64_t revision;
  change_t *change;

  if (argc != 3 || !report_parse_number (argv[2], &revision))
    return CTL_USAGE;
  if (history_find (ctl, revision, &change) != CTL_OK)
    return CTL_UNAVAILABLE;
  if (change == NULL)
    {
      report_error (ctl,
                    "revision %llu does not exist; the change has not taken "
                    "effect yet and may still do so until another change is "
                    "made",
                    (unsigned long long)revision);
      return CTL_UNKNOWN;
    }
  report_json_set (ctl, "change", history_json (change));
  if (strcmp (change->id, argv[1]) == 0)
    {
      report_line (ctl, "the change took effect as revision %llu",
                   (unsigned long long)revision);
      return CTL_OK;
    }
  report_error (ctl,
                "the change never took effect; revision %llu was written by "
                "%s at %s: %s",
                (unsigned long long)revision, change->who, change->when,
                change->why);
  return CTL_CONFLICT;
}

static const command_ops_t resolve_ops = {
  .usage = "CHANGE-ID REVISION",
  .needs_store = true,
  .run = resolve_run,
};

PLUGIN_REGISTER (resolve, PLUGIN_COMMAND, "resolve",
                 "show whether a change with an unknown outcome took effect",
                 &resolve_ops);
