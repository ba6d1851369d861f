#ifndef SISKIN_CTL_REVISION_H
#define SISKIN_CTL_REVISION_H

#include "ctl/command.h"

/* The settings as they are in the store.  */
typedef struct revision
{
  settings_parts_t *parts; /* revision 0 when there are none yet */
  int64_t mod_revision;    /* of the store's key, 0 when absent */
} revision_t;

int revision_read (ctl_t *ctl, revision_t *current);
int revision_write (ctl_t *ctl, const revision_t *based_on,
                    settings_parts_t *parts);

#endif
