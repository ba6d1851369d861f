#ifndef SISKIN_CTL_REVISION_H
#define SISKIN_CTL_REVISION_H

#include "ctl/command.h"

/* The current settings as read from the store.  If the store has none yet,
   PARTS is an empty object with revision number 0.  */
typedef struct revision
{
  settings_parts_t *parts; /* never NULL after a successful read */
  const char *document;    /* text of PARTS; NULL if the store has none yet */
  int64_t mod_revision;    /* of the store's key; 0 if the key is absent */
  struct timespec read_at; /* monotonic time just before the read was sent */
} stored_settings_t;

int revision_read (ctl_t *ctl, stored_settings_t *current);
/* Read the settings with revision NUMBER, current or superseded.  */
int revision_read_by_number (ctl_t *ctl, uint64_t number,
                             settings_parts_t **parts);
settings_parts_t *revision_copy (ctl_t *ctl,
                                 const stored_settings_t *revision);
/* Write PARTS as the next revision after BASED_ON, by compare-and-swap.  */
int revision_write (ctl_t *ctl, const stored_settings_t *based_on,
                    settings_parts_t *parts);
/* Write SETTINGS, which running processes have, to a store that was rolled
   back to the older CURRENT.  SETTINGS keep their revision number.  */
int revision_restore (ctl_t *ctl, const stored_settings_t *current,
                      const settings_t *settings);
/* Report that the store has other settings than the operator expected: who
   wrote CURRENT, when and why, and the differences from CURRENT to PROPOSED,
   the operator's settings.  PROPOSED may be NULL: no differences are shown. */
void revision_report_conflict (ctl_t *ctl, const stored_settings_t *current,
                               const settings_parts_t *proposed);

#endif
