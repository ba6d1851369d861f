#include "common/settings_read.h"

#include "common/inventory.h"

#include <string.h>

static void
settings_mark_zones_out (settings_t *settings, const settings_parts_t *parts,
                         findings_t *findings)
{
  const schema_string_t *name;
  zone_t *zone;

  STAILQ_FOREACH (name, &parts->zones_out, link)
    {
      bool is_known = false;

      STAILQ_FOREACH (zone, &settings->zones, link)
        {
          if (zone->name == NULL || strcmp (zone->name, name->text) != 0)
            continue;
          zone->is_out = true;
          is_known = true;
        }
      if (!is_known)
        findings_add (findings, "zones_out", 0, 0, "zone '%s' does not exist",
                      name->text);
    }
}

static void
settings_mark_draining (settings_t *settings, const settings_parts_t *parts)
{
  const schema_string_t *name;
  upstream_t *upstream;

  STAILQ_FOREACH (name, &parts->draining, link)
    {
      STAILQ_FOREACH (upstream, &settings->upstreams, link)
        {
          if (strcmp (upstream->name, name->text) == 0)
            upstream->is_draining = true;
        }
    }
}

static settings_t *
settings_read_parts (const settings_parts_t *parts, const char *rules_file,
                     const char *inventory_file, findings_t *findings,
                     bool checks_plugins)
{
  settings_t *settings = settings_create ();
  TALLOC_CTX *scratch = talloc_new (NULL);
  schema_source_t rules
      = { .file = rules_file, .findings = findings, .memory = scratch };
  schema_source_t inventory
      = { .file = inventory_file, .findings = findings, .memory = scratch };
  toml_node_t *root;

  if (settings == NULL)
    return NULL;
  root = toml_parse (scratch, parts->rules, strlen (parts->rules), rules_file,
                     findings);
  if (root != NULL)
    {
      settings_read_rules (settings, &rules, root);
      settings_check_rules (settings, &rules);
      if (checks_plugins)
        settings_check_plugins (settings, &rules);
      inventory_read (settings, parts->inventory, &inventory);
      settings_check_inventory (settings, &inventory);
      settings_mark_zones_out (settings, parts, findings);
      settings_mark_draining (settings, parts);
    }
  talloc_free (scratch);
  if (findings_count (findings) > 0)
    {
      talloc_free (settings);
      return NULL;
    }
  settings->revision = parts->revision;
  settings->change_id = talloc_strdup (settings, parts->change_id);
  settings->changed_by = talloc_strdup (settings, parts->changed_by);
  settings->changed_why = talloc_strdup (settings, parts->changed_why);
  settings->changed_at = talloc_strdup (settings, parts->changed_at);
  return settings;
}

/* Read PARTS into a new settings object with one reference.  Every fault is
   added to FINDINGS at its place in RULES_FILE or INVENTORY_FILE; returns NULL
   when there is any.  Names of plug-ins are checked for those kinds of which
   the program has any.  */
settings_t *
settings_from_parts (const settings_parts_t *parts, const char *rules_file,
                     const char *inventory_file, findings_t *findings)
{
  return settings_read_parts (parts, rules_file, inventory_file, findings,
                              true);
}

/* Read DOCUMENT, as the store and the peers hold it, into *SETTINGS with one
   reference.  Names of plug-ins are not checked: a program that lacks a newer
   policy still has to put the rest in force.  Returns STATUS_INVALID with the
   first fault as message.  */
status_t
settings_from_document (const char *document, size_t size,
                        settings_t **settings)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  findings_t *findings = findings_create (scratch);
  settings_parts_t *parts = settings_parts_parse (scratch, document, size);
  status_t status = STATUS_OK;

  *settings = NULL;
  if (parts == NULL)
    status = STATUS_INVALID;
  else
    {
      *settings
          = settings_read_parts (parts, "rules", "inventory", findings, false);
      if (*settings == NULL)
        {
          const finding_t *first = findings_first (findings);

          status = status_set (STATUS_INVALID, "%s:%u:%u: %s",
                               first == NULL ? "" : first->file,
                               first == NULL ? 0 : first->line,
                               first == NULL ? 0 : first->column,
                               first == NULL ? "no memory" : first->message);
        }
      else
        {
          (*settings)->document = talloc_memdup (*settings, document, size);
          (*settings)->document_size = size;
        }
    }
  talloc_free (scratch);
  return status;
}

/* Take a reference to SETTINGS.  */
void
settings_retain (settings_t *settings)
{
  atomic_fetch_add (&settings->references, 1);
}

/* Give a reference to SETTINGS back; the last one frees it.  */
void
settings_release (settings_t *settings)
{
  if (atomic_fetch_sub (&settings->references, 1) == 1)
    talloc_free (settings);
}
