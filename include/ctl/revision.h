#ifndef SISKIN_CTL_REVISION_H
#define SISKIN_CTL_REVISION_H

#include "ctl/command.h"

/* The current settings as read from the store.  */
typedef struct revision
{
  settings_parts_t *parts; /* revision 0 when the store has none yet */
  const char *document;    /* NULL when the store has none yet */
  int64_t mod_revision;    /* of the store key; 0 when it is absent */
  struct timespec read_at; /* monotonic time before the read was sent */
} stored_settings_t;

int revision_read (ctl_t *ctl, stored_settings_t *current);
int revision_read_by_number (ctl_t *ctl, uint64_t number,
                             settings_parts_t **parts);
settings_parts_t *revision_copy (ctl_t *ctl,
                                 const stored_settings_t *revision);
int revision_write (ctl_t *ctl, const stored_settings_t *based_on,
                    settings_parts_t *parts);
int revision_restore (ctl_t *ctl, const stored_settings_t *current,
                      const settings_t *settings);
void revision_report_conflict (ctl_t *ctl, const stored_settings_t *current,
                               const settings_parts_t *proposed);

#endif
