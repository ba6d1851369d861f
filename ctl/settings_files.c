#include "ctl/settings_files.h"

#include "common/file.h"
#include "ctl/mark.h"
#include "ctl/report.h"

/* Read RULES_FILE and INVENTORY_FILE into PARTS and validate them together.
   Marks are kept for the zones and upstreams that still exist.  Reports every
   finding with its file, line and column; returns true if there are none.  */
bool
settings_files_load (ctl_t *ctl, const char *rules_file,
                     const char *inventory_file, settings_parts_t *parts)
{
  findings_t *findings = findings_create (ctl->memory);
  settings_t *settings;
  size_t size;

  parts->rules = file_read (ctl->memory, rules_file, &size);
  if (parts->rules == NULL)
    findings_add (findings, rules_file, 0, 0, "%s", status_message ());
  parts->inventory = file_read (ctl->memory, inventory_file, &size);
  if (parts->inventory == NULL)
    findings_add (findings, inventory_file, 0, 0, "%s", status_message ());
  if (findings_count (findings) == 0)
    {
      mark_remove_stale (ctl, parts);
      settings
          = settings_from_parts (parts, rules_file, inventory_file, findings);
      if (settings != NULL)
        settings_release (settings);
    }
  report_findings (ctl, findings);
  return findings_count (findings) == 0;
}
