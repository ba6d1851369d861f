#ifndef SISKIN_COMMON_SETTINGS_READ_H
#define SISKIN_COMMON_SETTINGS_READ_H

#include "common/settings.h"

/* The steps by which settings_from_parts reads a revision.  Each adds its
   findings to the source that it is given.  */
settings_t *settings_create (void);
void settings_read_rules (settings_t *settings, schema_source_t *source,
                          toml_node_t *root);
void settings_check_rules (settings_t *settings, schema_source_t *source);
void settings_check_inventory (settings_t *settings, schema_source_t *source);
void settings_check_plugins (const settings_t *settings,
                             const schema_source_t *source);
bool settings_path_has_prefix (const char *path, const char *prefix);

#endif
