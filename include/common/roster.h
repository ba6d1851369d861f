#ifndef SISKIN_COMMON_ROSTER_H
#define SISKIN_COMMON_ROSTER_H

#include <stdbool.h>
#include <talloc.h>

/* Prefixes of the store keys under which the system's processes register
   themselves.  They are relative to the system's own part of the store.  The
   name of the relay or pilot follows; after ROSTER_LEADERS, the name of a
   lock-step group, whose leading pilot owns the key (see election.h).  */
#define ROSTER_RELAYS "relays/"
#define ROSTER_PILOTS "pilots/"
#define ROSTER_LEADERS "leaders/"

/* The value that a pilot registers.  */
typedef struct roster_pilot
{
  const char *address;  /* ADDRESS:PORT of the pilot */
  const char *upstream; /* ADDRESS:PORT of the engine beside it */
  const char *group;    /* group of the engine; "-" for none */
} roster_pilot_t;

char *roster_format_pilot (TALLOC_CTX *parent, const roster_pilot_t *pilot);
bool roster_parse_pilot (TALLOC_CTX *parent, const char *text,
                         roster_pilot_t *pilot);
const char *roster_name_from_key (const char *key, const char *prefix);

#endif
