#include "common/roster.h"

#include <string.h>

/* Return the value that PILOT registers, owned by PARENT.  */
char *
roster_format_pilot (TALLOC_CTX *parent, const roster_pilot_t *pilot)
{
  return talloc_asprintf (parent, "%s %s %s", pilot->address, pilot->upstream,
                          pilot->group[0] == '\0' ? "-" : pilot->group);
}

/* Return a copy of the next word of *TEXT, and advance *TEXT past it.  */
static const char *
parse_word (TALLOC_CTX *parent, const char **text)
{
  size_t length;
  const char *word;

  *text += strspn (*text, " ");
  length = strcspn (*text, " ");
  word = talloc_strndup (parent, *text, length);
  *text += length;
  return word;
}

/* Parse TEXT, the value that a pilot registered, into PILOT; its strings
   belong to PARENT.  Returns false when TEXT is not such a value.  */
bool
roster_parse_pilot (TALLOC_CTX *parent, const char *text,
                    roster_pilot_t *pilot)
{
  pilot->address = parse_word (parent, &text);
  pilot->upstream = parse_word (parent, &text);
  pilot->group = parse_word (parent, &text);
  return pilot->group != NULL && pilot->group[0] != '\0';
}

/* Return the process name that follows PREFIX in KEY, or NULL when KEY does
   not start with PREFIX.  */
const char *
roster_name_from_key (const char *key, const char *prefix)
{
  size_t length = strlen (prefix);

  return strncmp (key, prefix, length) == 0 ? key + length : NULL;
}
