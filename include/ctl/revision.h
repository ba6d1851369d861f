#ifndef SISKIN_CTL_REVISION_H
#define SISKIN_CTL_REVISION_H

#include "ctl/command.h"

/* The settings as they are in the store.  */
typedef struct revision
{
  settings_parts_t *parts; /* revision 0 when there are none yet */
  const char *document;    /* NULL when there is none yet */
  int64_t mod_revision;    /* of the store's key, 0 when absent */
  struct timespec read_at; /* monotonic, before the store was asked */
} revision_t;

int revision_read (ctl_t *ctl, revision_t *current);
int revision_read_number (ctl_t *ctl, uint64_t number,
                          settings_parts_t **parts);
settings_parts_t *revision_copy (ctl_t *ctl, const revision_t *revision);
int revision_write (ctl_t *ctl, const revision_t *based_on,
                    settings_parts_t *parts);
int revision_restore (ctl_t *ctl, const revision_t *current,
                      const settings_t *settings);
void revision_report_conflict (ctl_t *ctl, const revision_t *current,
                               const settings_parts_t *mine);

#endif
