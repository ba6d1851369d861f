#ifndef SISKIN_CTL_MARK_H
#define SISKIN_CTL_MARK_H

#include "ctl/command.h"

typedef enum mark_kind
{
  MARK_ZONE_OUT,
  MARK_DRAINING
} mark_kind_t;

int mark_change (ctl_t *ctl, mark_kind_t kind, const char *name, bool is_set);
void mark_prune (ctl_t *ctl, settings_parts_t *parts);

#endif
