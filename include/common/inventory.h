#ifndef SISKIN_COMMON_INVENTORY_H
#define SISKIN_COMMON_INVENTORY_H

#include "common/settings.h"

void inventory_read (settings_t *settings, const char *text,
                     schema_source_t *source);

#endif
