#include "common/http_header.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

enum
{
  STATUS_DIGITS = 3
};

/* Fields that apply to a single connection and are never forwarded.  */
static const char *const hop_by_hop_names[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  NULL,
};

/* Return whether HTTP has a class for HTTP_STATUS.  */
bool
http_status_is_valid (uint64_t http_status)
{
  return http_status >= HTTP_STATUS_MIN && http_status <= HTTP_STATUS_MAX;
}

/* Return whether LINE, the first one of a response with its SIZE bytes, has a
   valid status of three digits.  */
bool
http_status_line_is_valid (const char *line, size_t size)
{
  const char *end = line + size;
  const char *text = memchr (line, ' ', size);
  uint64_t http_status = 0;
  unsigned digits = 0;

  if (text == NULL)
    return false;
  for (text++; text < end && isdigit ((unsigned char)*text); text++)
    {
      http_status = http_status * 10 + (uint64_t)(*text - '0');
      digits++;
    }
  return digits == STATUS_DIGITS && http_status_is_valid (http_status)
         && (text == end || isspace ((unsigned char)*text));
}

/* Append a field with copies of NAME and VALUE to HEADERS.  The field is owned
   by PARENT.  Returns STATUS_NO_MEMORY on failure.  */
status_t
http_headers_add (http_headers_t *headers, TALLOC_CTX *parent,
                  const char *name, const char *value)
{
  http_header_t *header = talloc_zero (parent, http_header_t);

  if (header == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a header field");
  header->name = talloc_strdup (header, name);
  header->value = talloc_strdup (header, value);
  if (header->name == NULL || header->value == NULL)
    {
      talloc_free (header);
      return status_set (STATUS_NO_MEMORY, "no memory for a header field");
    }
  STAILQ_INSERT_TAIL (headers, header, link);
  return STATUS_OK;
}

static const char *
skip_blanks (const char *text, const char *end)
{
  while (text < end && (*text == ' ' || *text == '\t'))
    text++;
  return text;
}

/* Parse LINE, a header field of SIZE bytes with or without line terminator,
   and append it to HEADERS.  The field is owned by PARENT.  Returns
   STATUS_INVALID when LINE has no field name, or STATUS_NO_MEMORY.  */
status_t
http_headers_add_line (http_headers_t *headers, TALLOC_CTX *parent,
                       const char *line, size_t size)
{
  const char *end = line + size;
  const char *colon = memchr (line, ':', size);
  const char *value;
  char *name_copy;
  char *value_copy;
  status_t status;

  if (colon == NULL || colon == line)
    return status_set (STATUS_INVALID, "header line has no field name");
  while (end > colon + 1 && isspace ((unsigned char)end[-1]))
    end--;
  value = skip_blanks (colon + 1, end);
  name_copy = talloc_strndup (parent, line, (size_t)(colon - line));
  value_copy = talloc_strndup (parent, value, (size_t)(end - value));
  status = http_headers_add (headers, parent, name_copy, value_copy);
  talloc_free (name_copy);
  talloc_free (value_copy);
  return status;
}

/* Return whether the name of HEADER equals NAME, ignoring case.  */
bool
http_header_is (const http_header_t *header, const char *name)
{
  return strcasecmp (header->name, name) == 0;
}

/* Return the value of the first field called NAME, or NULL when there is
   none.  */
const char *
http_headers_find (const http_headers_t *headers, const char *name)
{
  const http_header_t *header;

  STAILQ_FOREACH (header, headers, link)
    {
      if (http_header_is (header, name))
        return header->value;
    }
  return NULL;
}

/* Return whether the comma-separated list TEXT contains NAME, ignoring the
   case of letters.  */
static bool
list_contains_token (const char *text, const char *name)
{
  size_t length = strlen (name);

  while (*text != '\0')
    {
      size_t token;

      text += strspn (text, ", \t");
      token = strcspn (text, ", \t");
      if (token == length && strncasecmp (text, name, length) == 0)
        return true;
      text += token;
    }
  return false;
}

/* Return whether the field NAME is hop-by-hop: by the standard, or because the
   Connection field in HEADERS lists it.  */
bool
http_header_is_hop_by_hop (const http_headers_t *headers, const char *name)
{
  const http_header_t *header;

  for (unsigned i = 0; hop_by_hop_names[i] != NULL; i++)
    {
      if (strcasecmp (hop_by_hop_names[i], name) == 0)
        return true;
    }
  STAILQ_FOREACH (header, headers, link)
    {
      if (http_header_is (header, "Connection")
          && list_contains_token (header->value, name))
        return true;
    }
  return false;
}
