#ifndef SISKIN_COMMON_INVENTORY_H
#define SISKIN_COMMON_INVENTORY_H

#include "common/settings.h"

void inventory_read (settings_t *settings, const char *text, const char *file,
                     findings_t *findings);

#endif
