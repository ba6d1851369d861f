#include "ctl/rules.h"

#include "common/file.h"

#include <stdio.h>

/* Read RULES_FILE and INVENTORY_FILE into PARTS, whose operators' marks are
   kept, and check them together.  Prints every fault with its place; returns
   whether there is none.  */
bool
rules_load (ctl_t *ctl, const char *rules_file, const char *inventory_file,
            settings_parts_t *parts)
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
      settings
          = settings_from_parts (parts, rules_file, inventory_file, findings);
      if (settings != NULL)
        settings_release (settings);
    }
  findings_print (findings, stderr);
  return findings_count (findings) == 0;
}
