#include "plugins/journal/claim_value.h"

#include "common/base64.h"
#include "common/http_header.h"

#include <ctype.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[CLAIM_STATE_COUNT] = {
  [CLAIM_STATE_RUNNING] = "running",
  [CLAIM_STATE_FINISHED] = "done",
  [CLAIM_STATE_UNKNOWN] = "lost",
  [CLAIM_STATE_RELEASED] = "released",
};

static void
record_format (json_t *root, const claim_record_t *record)
{
  char *body;

  json_object_set_new (root, "http_status",
                       json_integer ((json_int_t)record->http_status));
  json_object_set_new (root, "content_type",
                       json_string (record->content_type));
  if (record->body == NULL)
    return;
  body = base64_encode_text (NULL, record->body, record->body_size);
  json_object_set_new (root, "body", json_string (body));
  talloc_free (body);
}

/* Return VALUE as the text to be stored, owned by PARENT.  Equal values yield
   equal texts, so that the text can be used in the compare of a
   transaction.  */
char *
claim_value_format (TALLOC_CTX *parent, const claim_value_t *value)
{
  json_t *root = json_object ();
  char fingerprint[17];
  char *text;
  char *copy;

  snprintf (fingerprint, sizeof fingerprint, "%016llx",
            (unsigned long long)value->fingerprint);
  json_object_set_new (root, "state", json_string (state_names[value->state]));
  json_object_set_new (root, "writer", json_string (value->claim_attempt_id));
  json_object_set_new (root, "fingerprint", json_string (fingerprint));
  json_object_set_new (root, "claimed_at_ms",
                       json_integer ((json_int_t)value->claimed_at_ms));
  if (value->state == CLAIM_STATE_FINISHED)
    record_format (root, &value->record);
  text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  copy = talloc_strdup (parent, text);
  free (text);
  json_decref (root);
  return copy;
}

static bool
state_parse (const json_t *root, claim_state_t *state)
{
  const char *name = json_string_value (json_object_get (root, "state"));

  for (unsigned i = 0; name != NULL && i < CLAIM_STATE_COUNT; i++)
    {
      if (strcmp (name, state_names[i]) != 0)
        continue;
      *state = (claim_state_t)i;
      return true;
    }
  return false;
}

static const char *
text_parse (TALLOC_CTX *parent, const json_t *root, const char *name)
{
  const char *text = json_string_value (json_object_get (root, name));

  return talloc_strdup (parent, text == NULL ? "" : text);
}

/* Read the recorded response.  Returns false if it has no valid status.  */
static bool
record_parse (claim_value_t *value, const json_t *root)
{
  claim_record_t *record = &value->record;
  const char *body = json_string_value (json_object_get (root, "body"));
  json_int_t http_status
      = json_integer_value (json_object_get (root, "http_status"));

  if (http_status < 0 || !http_status_is_valid ((uint64_t)http_status))
    return false;
  record->http_status = (unsigned)http_status;
  record->content_type = text_parse (value, root, "content_type");
  if (body != NULL)
    record->body = base64_decode_text (value, body, &record->body_size);
  return true;
}

/* Parse TEXT into a value owned by PARENT, or return NULL if malformed.  The
   outcome of a request whose recorded response can't be an answer is
   unknown.  */
claim_value_t *
claim_value_parse (TALLOC_CTX *parent, const char *text)
{
  json_t *root = json_loads (text, 0, NULL);
  claim_value_t *value = talloc_zero (parent, claim_value_t);

  if (value == NULL || !state_parse (root, &value->state))
    {
      json_decref (root);
      talloc_free (value);
      return NULL;
    }
  value->claim_attempt_id = text_parse (value, root, "writer");
  value->fingerprint
      = strtoull (text_parse (value, root, "fingerprint"), NULL, 16);
  value->claimed_at_ms
      = json_integer_value (json_object_get (root, "claimed_at_ms"));
  if (value->state == CLAIM_STATE_FINISHED && !record_parse (value, root))
    value->state = CLAIM_STATE_UNKNOWN;
  json_decref (root);
  return value;
}

/* Append "/" and PART, percent-encoded, to PATH.  */
static char *
path_append_escaped (char *path, const char *part)
{
  path = talloc_strdup_append_buffer (path, "/");
  for (const unsigned char *c = (const unsigned char *)part; *c != '\0'; c++)
    {
      if (isalnum (*c) || strchr ("-._~", *c) != NULL)
        path = talloc_asprintf_append_buffer (path, "%c", *c);
      else
        path = talloc_asprintf_append_buffer (path, "%%%02X", *c);
    }
  return path;
}

/* Return the store's key for the claim of REQUEST, owned by PARENT.  Each part
   is percent-encoded, so that different accounts, services or idempotency keys
   never share a store key.  */
char *
claim_path (TALLOC_CTX *parent, const claim_request_t *request)
{
  char *path = talloc_strndup (parent, STORE_PREFIX_CLAIMS,
                               strlen (STORE_PREFIX_CLAIMS) - 1);

  path = path_append_escaped (path, request->account);
  path = path_append_escaped (path, request->service);
  return path_append_escaped (path, request->key);
}
