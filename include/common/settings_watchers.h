#ifndef SISKIN_COMMON_SETTINGS_WATCHERS_H
#define SISKIN_COMMON_SETTINGS_WATCHERS_H

#include "common/settings.h"

bool settings_is_store_watcher (const settings_t *settings, const char *name);

#endif
