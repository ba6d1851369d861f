#include "ctl/report.h"
#include "ctl/revision.h"
#include "ctl/survey.h"
#include "kernel/plugin.h"

static int
restore_write (ctl_t *ctl, const revision_t *current,
               const settings_t *settings)
{
  revision_t now;
  int result;

  if (settings == NULL || settings->revision <= current->parts->revision)
    {
      report_line (ctl,
                   "no process that answered has a revision newer than "
                   "%llu, the store's",
                   (unsigned long long)current->parts->revision);
      return CTL_OK;
    }
  result = revision_restore (ctl, current, settings);
  if (result == CTL_UNAVAILABLE || result == CTL_UNKNOWN)
    return result;
  result = revision_read (ctl, &now);
  if (result != CTL_OK)
    return result;
  report_set_number (ctl, "revision", now.parts->revision);
  if (now.parts->revision < settings->revision)
    {
      revision_report_conflict (ctl, &now, NULL);
      return CTL_CONFLICT;
    }
  report_line (ctl, "the store has revision %llu again",
               (unsigned long long)now.parts->revision);
  return CTL_OK;
}

static int
restore_run (ctl_t *ctl, int argc, char **argv)
{
  revision_t current;
  settings_t *settings;
  survey_t *survey;
  int result = revision_read (ctl, &current);

  if (result != CTL_OK)
    return result;
  if (argc == 1 && current.document == NULL)
    {
      report_error (ctl, "the store has no inventory; name agents' addresses");
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
                 "bring a store that was put back to an older state up to the "
                 "newest revision that processes have",
                 &restore_ops);
