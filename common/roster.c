#include "common/roster.h"

#include <string.h>

/* Return the text that a pilot enters, owned by PARENT.  */
char *
roster_format_pilot (TALLOC_CTX *parent, const roster_pilot_t *pilot)
{
  return talloc_asprintf (parent, "%s %s %s", pilot->address, pilot->upstream,
                          pilot->group[0] == '\0' ? "-" : pilot->group);
}

/* Cut the next word off *TEXT.  */
static const char *
take_word (TALLOC_CTX *parent, const char **text)
{
  size_t length;
  const char *word;

  *text += strspn (*text, " ");
  length = strcspn (*text, " ");
  word = talloc_strndup (parent, *text, length);
  *text += length;
  return word;
}

/* Read what a pilot entered; the words belong to PARENT.  Returns false when
   it is no such entry.  */
bool
roster_parse_pilot (TALLOC_CTX *parent, const char *text,
                    roster_pilot_t *pilot)
{
  pilot->address = take_word (parent, &text);
  pilot->upstream = take_word (parent, &text);
  pilot->group = take_word (parent, &text);
  return pilot->group != NULL && pilot->group[0] != '\0';
}

/* Return what follows PREFIX in KEY, or NULL when KEY does not start so.  */
const char *
roster_name_from_key (const char *key, const char *prefix)
{
  size_t length = strlen (prefix);

  return strncmp (key, prefix, length) == 0 ? key + length : NULL;
}
