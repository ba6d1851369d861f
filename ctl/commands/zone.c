#include "ctl/revision.h"
#include "kernel/plugin.h"

#include <stdio.h>
#include <string.h>

static schema_string_t *
zone_find_mark (const settings_parts_t *parts, const char *name)
{
  schema_string_t *mark;

  STAILQ_FOREACH (mark, &parts->zones_out, link)
    {
      if (strcmp (mark->text, name) == 0)
        return mark;
    }
  return NULL;
}

static void
zone_set_out (settings_parts_t *parts, const char *name, bool is_out)
{
  schema_string_t *mark = zone_find_mark (parts, name);

  if (mark != NULL && !is_out)
    STAILQ_REMOVE (&parts->zones_out, mark, schema_string, link);
  if (mark != NULL || !is_out)
    return;
  mark = talloc_zero (parts, schema_string_t);
  mark->text = talloc_strdup (mark, name);
  STAILQ_INSERT_TAIL (&parts->zones_out, mark, link);
}

static int
zone_run (ctl_t *ctl, int argc, char **argv)
{
  revision_t current;
  findings_t *findings = findings_create (ctl->memory);
  settings_t *settings;
  int result;

  if (argc != 3
      || (strcmp (argv[1], "out") != 0 && strcmp (argv[1], "in") != 0))
    return CTL_USAGE;
  result = revision_read (ctl, &current);
  if (result != CTL_OK)
    return result;
  zone_set_out (current.parts, argv[2], strcmp (argv[1], "out") == 0);
  settings
      = settings_from_parts (current.parts, "rules", "inventory", findings);
  if (settings == NULL)
    {
      findings_print (findings, stderr);
      return CTL_FAULTS;
    }
  settings_release (settings);
  result = revision_write (ctl, &current, current.parts);
  if (result == CTL_OK)
    printf ("zone %s is %s from revision %llu on\n", argv[2], argv[1],
            (unsigned long long)current.parts->revision);
  else
    fprintf (stderr, "%s\n", status_message ());
  return result;
}

static const command_ops_t zone_ops = {
  .usage = "out|in ZONE",
  .needs_store = true,
  .run = zone_run,
};

PLUGIN_REGISTER (zone, PLUGIN_COMMAND, "zone",
                 "take an availability zone out of service or back in",
                 &zone_ops);
