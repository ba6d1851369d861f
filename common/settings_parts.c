#include "common/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Create empty parts at revision 0.  */
settings_parts_t *
settings_parts_create (TALLOC_CTX *parent)
{
  settings_parts_t *parts = talloc_zero (parent, settings_parts_t);

  if (parts == NULL)
    return NULL;
  parts->change_id = "";
  parts->changed_by = "";
  parts->changed_why = "";
  parts->changed_at = "";
  parts->rules = "";
  parts->inventory = "";
  STAILQ_INIT (&parts->zones_out);
  STAILQ_INIT (&parts->draining);
  return parts;
}

/* Free PARTS.  */
void
settings_parts_destroy (settings_parts_t *parts)
{
  talloc_free (parts);
}

static const char *
parts_string (TALLOC_CTX *parent, const json_t *root, const char *key)
{
  const char *text = json_string_value (json_object_get (root, key));

  return talloc_strdup (parent, text == NULL ? "" : text);
}

static void
parts_strings (TALLOC_CTX *parent, const json_t *root, const char *key,
               schema_strings_t *strings)
{
  const json_t *array = json_object_get (root, key);
  size_t index;
  const json_t *item;

  json_array_foreach (array, index, item)
    {
      schema_string_t *string;

      if (!json_is_string (item))
        continue;
      string = talloc_zero (parent, schema_string_t);
      string->text = talloc_strdup (string, json_string_value (item));
      STAILQ_INSERT_TAIL (strings, string, link);
    }
}

/* Parse DOCUMENT, a JSON object, into parts owned by PARENT.  Returns NULL
   with the status message set when it is not one.  */
settings_parts_t *
settings_parts_parse (TALLOC_CTX *parent, const char *document, size_t size)
{
  json_error_t error;
  json_t *root = json_loadb (document, size, 0, &error);
  settings_parts_t *parts;

  if (!json_is_object (root)
      || !json_is_integer (json_object_get (root, "revision")))
    {
      status_set (STATUS_INVALID, "the settings document is malformed: %s",
                  root == NULL ? error.text : "no revision");
      json_decref (root);
      return NULL;
    }
  parts = settings_parts_create (parent);
  if (parts != NULL)
    {
      parts->revision
          = (uint64_t)json_integer_value (json_object_get (root, "revision"));
      parts->change_id = parts_string (parts, root, "change_id");
      parts->changed_by = parts_string (parts, root, "changed_by");
      parts->changed_why = parts_string (parts, root, "changed_why");
      parts->changed_at = parts_string (parts, root, "changed_at");
      parts->rules = parts_string (parts, root, "rules");
      parts->inventory = parts_string (parts, root, "inventory");
      parts_strings (parts, root, "zones_out", &parts->zones_out);
      parts_strings (parts, root, "draining", &parts->draining);
    }
  json_decref (root);
  return parts;
}

static json_t *
parts_list (const schema_strings_t *strings)
{
  json_t *array = json_array ();
  const schema_string_t *string;

  STAILQ_FOREACH (string, strings, link)
    json_array_append_new (array, json_string (string->text));
  return array;
}

/* Return PARTS as the JSON document that the store holds, owned by
   PARENT.  */
char *
settings_parts_format (TALLOC_CTX *parent, const settings_parts_t *parts)
{
  json_t *root = json_object ();
  char *text;
  char *copy;

  json_object_set_new (root, "revision",
                       json_integer ((json_int_t)parts->revision));
  json_object_set_new (root, "change_id", json_string (parts->change_id));
  json_object_set_new (root, "changed_by", json_string (parts->changed_by));
  json_object_set_new (root, "changed_why", json_string (parts->changed_why));
  json_object_set_new (root, "changed_at", json_string (parts->changed_at));
  json_object_set_new (root, "rules", json_string (parts->rules));
  json_object_set_new (root, "inventory", json_string (parts->inventory));
  json_object_set_new (root, "zones_out", parts_list (&parts->zones_out));
  json_object_set_new (root, "draining", parts_list (&parts->draining));
  text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  copy = talloc_strdup (parent, text);
  free (text);
  json_decref (root);
  return copy;
}

/* Return what the store's revision key holds for REVISION made by CHANGE_ID,
   owned by PARENT.  */
char *
settings_revision_key_value (TALLOC_CTX *parent, uint64_t revision,
                             const char *change_id)
{
  return talloc_asprintf (parent, "%llu %s", (unsigned long long)revision,
                          change_id);
}
