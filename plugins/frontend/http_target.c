#include "plugins/frontend/http_target.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

enum
{
  HEX_DIGITS = 2,
  ESCAPE_BYTES = 3 /* "%2F" */
};

/* Return whether a path segment may contain BYTE unescaped.  A semicolon is
   not allowed, since some servers strip it and what follows as parameters.  */
static bool
is_path_byte (unsigned char byte)
{
  return isalnum (byte) != 0
         || (byte != '\0' && strchr ("-._~!$&'()*+,=:@", byte) != NULL);
}

/* Return whether BYTE could change the meaning of the path for a server that
   decodes its escape.  */
static bool
is_ambiguous (unsigned char byte)
{
  return iscntrl (byte) != 0 || strchr ("/\\%;", byte) != NULL;
}

/* Decode the two hexadecimal digits at TEXT.  */
static bool
decode_escape (const char *text, unsigned char *byte)
{
  unsigned value;
  char digits[HEX_DIGITS + 1] = { 0 };

  for (unsigned i = 0; i < HEX_DIGITS; i++)
    {
      if (isxdigit ((unsigned char)text[i]) == 0)
        return false;
      digits[i] = text[i];
    }
  if (sscanf (digits, "%x", &value) != 1)
    return false;
  *byte = (unsigned char)value;
  return true;
}

/* Append the segment from TEXT to END to PATH with no unnecessary escapes.
   Returns false if the segment is malformed or ambiguous.  */
static bool
append_segment (char **path, const char *text, const char *end)
{
  while (text < end)
    {
      unsigned char byte = (unsigned char)*text;
      bool is_escaped = byte == '%';

      if (is_escaped && !decode_escape (text + 1, &byte))
        return false;
      if (is_escaped && is_ambiguous (byte))
        return false;
      if (!is_escaped && !is_path_byte (byte))
        return false;
      *path = is_path_byte (byte)
                  ? talloc_asprintf_append (*path, "%c", byte)
                  : talloc_asprintf_append (*path, "%%%02X", byte);
      text += is_escaped ? ESCAPE_BYTES : 1;
    }
  return true;
}

/* Remove the last segment of PATH, which ends in a slash.  Returns false at
   the root.  */
static bool
remove_last_segment (char *path)
{
  char *slash;

  if (strcmp (path, "/") == 0)
    return false;
  path[strlen (path) - 1] = '\0';
  slash = strrchr (path, '/');
  slash[1] = '\0';
  return true;
}

/* Resolve the segment of PATH that begins at START if it is "." or "..".
   Returns false if it leads above the root.  */
static bool
resolve_dots (char *path, size_t start)
{
  if (strcmp (path + start, ".") == 0)
    path[start] = '\0';
  else if (strcmp (path + start, "..") == 0)
    {
      path[start] = '\0';
      return remove_last_segment (path);
    }
  return true;
}

/* Append the path from TEXT to END to *PATH, which ends in a slash, in its
   canonical form.  */
static bool
normalise_path (char **path, const char *text, const char *end)
{
  while (text < end)
    {
      const char *slash = memchr (text, '/', (size_t)(end - text));
      const char *stop = slash == NULL ? end : slash;
      size_t start = strlen (*path);

      if (!append_segment (path, text, stop) || !resolve_dots (*path, start))
        return false;
      if (slash == NULL)
        return true;
      if ((*path)[strlen (*path) - 1] != '/')
        *path = talloc_strdup_append (*path, "/");
      text = slash + 1;
    }
  return true;
}

static bool
is_query_valid (const char *query)
{
  for (; *query != '\0'; query++)
    {
      if (isgraph ((unsigned char)*query) == 0 || *query == '#')
        return false;
    }
  return true;
}

/* Convert the request target TEXT to its canonical form: repeated slashes are
   merged, dot segments resolved and unnecessary escapes decoded; the query is
   unchanged.  The strings belong to PARENT.  Returns false if TEXT is not a
   path or if servers could interpret it differently.  */
bool
http_target_parse (TALLOC_CTX *parent, const char *text, http_target_t *target)
{
  const char *query = strchrnul (text, '?');
  char *path = talloc_strdup (parent, "/");

  if (text[0] != '/' || !is_query_valid (query)
      || !normalise_path (&path, text + 1, query))
    {
      talloc_free (path);
      return false;
    }
  target->path = path;
  target->text = talloc_asprintf (parent, "%s%s", path, query);
  return target->text != NULL;
}
