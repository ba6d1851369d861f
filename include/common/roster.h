#ifndef SISKIN_COMMON_ROSTER_H
#define SISKIN_COMMON_ROSTER_H

#include <stdbool.h>
#include <talloc.h>

/* Under which keys the system's processes enter themselves in the store,
   within the part of it that is the system's own, and what they say there.  */
#define ROSTER_RELAYS "relays/"
#define ROSTER_PILOTS "pilots/"
#define ROSTER_LEADERS "leaders/"

/* A pilot's entry.  */
typedef struct roster_pilot
{
  const char *address;  /* ADDRESS:PORT of the pilot */
  const char *upstream; /* ADDRESS:PORT of the engine beside it */
  const char *group;    /* of the engine; "-" for none */
} roster_pilot_t;

char *roster_format_pilot (TALLOC_CTX *parent, const roster_pilot_t *pilot);
bool roster_parse_pilot (TALLOC_CTX *parent, const char *text,
                         roster_pilot_t *pilot);
const char *roster_name_from_key (const char *key, const char *prefix);

#endif
