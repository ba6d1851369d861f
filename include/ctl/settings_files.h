#ifndef SISKIN_CTL_SETTINGS_FILES_H
#define SISKIN_CTL_SETTINGS_FILES_H

#include "ctl/command.h"

/* Read and validate the rules and the inventory.  Reports all errors found;
   returns whether there are none.  */
bool settings_files_load (ctl_t *ctl, const char *rules_file,
                          const char *inventory_file, settings_parts_t *parts);

#endif
