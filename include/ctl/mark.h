#ifndef SISKIN_CTL_MARK_H
#define SISKIN_CTL_MARK_H

#include "ctl/command.h"

/* Marks are set by operators on top of the rules and the inventory.  */
typedef enum mark_kind
{
  MARK_ZONE_OUT, /* the zone is out of service */
  MARK_DRAINING  /* the upstream gets no new requests */
} mark_kind_t;

int mark_change (ctl_t *ctl, mark_kind_t kind, const char *name, bool is_set);
void mark_remove_stale (ctl_t *ctl, settings_parts_t *parts);

#endif
