#ifndef SISKIN_CTL_MARK_H
#define SISKIN_CTL_MARK_H

#include "ctl/command.h"

/* Operators set marks to take a zone or an upstream out of use, without a
   change of the two files that the settings are made from: the rules (a TOML
   file with the zones, services and limits) and the inventory (the list of the
   entry VMs and upstreams with their zones).  */
typedef enum mark_kind
{
  MARK_ZONE_OUT, /* the zone is out of service */
  MARK_DRAINING  /* the upstream gets no new requests */
} mark_kind_t;

int mark_change (ctl_t *ctl, mark_kind_t kind, const char *name, bool is_set);
/* Remove the marks of zones and upstreams that PARTS no longer contains.  */
void mark_remove_stale (ctl_t *ctl, settings_parts_t *parts);

#endif
