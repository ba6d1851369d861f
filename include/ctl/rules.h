#ifndef SISKIN_CTL_RULES_H
#define SISKIN_CTL_RULES_H

#include "ctl/command.h"

bool settings_files_load (ctl_t *ctl, const char *rules_file,
                          const char *inventory_file, settings_parts_t *parts);

#endif
