#include "ctl/report.h"
#include "ctl/revision.h"
#include "ctl/survey.h"
#include "kernel/plugin.h"

/* Report that SETTINGS may have been written: the store did not respond to the
   write or, after it, to the read that shows its result.  */
static int
restore_report_unknown (ctl_t *ctl, const settings_t *settings)
{
  report_error (ctl,
                "the store stopped responding, and it is unknown whether it "
                "has revision %llu now (%s); check later with: siskinctl show",
                (unsigned long long)settings->revision, status_message ());
  return CTL_UNKNOWN;
}

/* Write SETTINGS, the newest that a process has, to the store if the store has
   an older revision.  SETTINGS may be NULL.  The outcome is determined by
   reading the store again, because another siskinctl may have restored the
   same or a newer revision meanwhile.  */
static int
restore_write (ctl_t *ctl, const stored_settings_t *current,
               const settings_t *settings)
{
  stored_settings_t stored;
  int result;

  if (settings == NULL || settings->revision <= current->parts->revision)
    {
      report_line (ctl,
                   "no process that replied has a newer revision than the "
                   "store, which has %llu",
                   (unsigned long long)current->parts->revision);
      return CTL_OK;
    }
  result = revision_restore (ctl, current, settings);
  if (result == CTL_UNAVAILABLE)
    return result;
  if (result == CTL_UNKNOWN)
    return restore_report_unknown (ctl, settings);
  result = revision_read (ctl, &stored);
  if (result == CTL_UNAVAILABLE)
    return restore_report_unknown (ctl, settings);
  if (result != CTL_OK)
    return result;
  report_json_set_number (ctl, "revision", stored.parts->revision);
  if (stored.parts->revision < settings->revision)
    {
      revision_report_conflict (ctl, &stored, NULL);
      return CTL_CONFLICT;
    }
  report_line (ctl, "the store has revision %llu now",
               (unsigned long long)stored.parts->revision);
  return CTL_OK;
}

/* Probe the processes of the inventory, or the agents at the given addresses
   when the inventory is missing or outdated, and restore the store.  */
static int
restore_run (ctl_t *ctl, int argc, char **argv)
{
  stored_settings_t current;
  settings_t *settings;
  survey_t *survey;
  int result = revision_read (ctl, &current);

  if (result != CTL_OK)
    return result;
  if (argc == 1 && current.document == NULL)
    {
      report_error (
          ctl, "the store has no inventory; give the addresses of agents");
      return CTL_USAGE;
    }
  survey = argc == 1 ? survey_run (ctl, &current, 0)
                     : survey_probe_agents (ctl, argv + 1, argc - 1);
  if (survey == NULL)
    return CTL_ERROR;
  settings = node_settings (survey->node);
  result = restore_write (ctl, &current, settings);
  if (settings != NULL)
    settings_release (settings);
  return result;
}

static const command_ops_t restore_ops = {
  .usage = "[ADDRESS:PORT...]",
  .needs_store = true,
  .needs_reason = true,
  .run = restore_run,
};

PLUGIN_REGISTER (restore, PLUGIN_COMMAND, "restore",
                 "write the newest revision that processes have to a store "
                 "that was rolled back to an older state",
                 &restore_ops);
