#ifndef SISKIN_COMMON_SETTINGS_WATCHERS_H
#define SISKIN_COMMON_SETTINGS_WATCHERS_H

#include "common/settings.h"

/* Store watchers are the processes that regularly read the settings from the
   store.  The other processes receive new settings from their peers, and read
   the store only when no peer has confirmed their settings for a while.  */
bool settings_is_store_watcher (const settings_t *settings,
                                const char *process_name);

#endif
