#include "ctl/mark.h"

#include "ctl/report.h"
#include "ctl/revision.h"
#include "ctl/survey.h"
#include "ctl/txn.h"

#include <string.h>

enum
{
  MAX_ATTEMPTS = 20,
  RETRY_DELAY_STEP_MS = 20
};

/* Properties of a kind of marks.  */
typedef struct mark_ops
{
  size_t offset;         /* offset of the list in settings_parts_t */
  const char *kind_name; /* "zone" or "upstream", for messages */
  /* State of an object with and without the mark, for messages.  */
  const char *set_text;
  const char *unset_text;
  bool (*exists) (const settings_t *settings, const char *name);
} mark_ops_t;

static bool
zone_exists (const settings_t *settings, const char *name)
{
  return settings_zone (settings, name) != NULL;
}

static bool
upstream_exists (const settings_t *settings, const char *name)
{
  return settings_upstream (settings, name) != NULL;
}

static const mark_ops_t mark_ops_table[] = {
  [MARK_ZONE_OUT] = { offsetof (settings_parts_t, zones_out), "zone", "out",
                      "in", zone_exists },
  [MARK_DRAINING] = { offsetof (settings_parts_t, draining), "upstream",
                      "draining", "serving", upstream_exists },
};

static schema_strings_t *
mark_list (settings_parts_t *parts, const mark_ops_t *ops)
{
  return (schema_strings_t *)(void *)((char *)parts + ops->offset);
}

static schema_string_t *
mark_find (const schema_strings_t *marks, const char *name)
{
  schema_string_t *mark;

  STAILQ_FOREACH (mark, marks, link)
    {
      if (strcmp (mark->text, name) == 0)
        return mark;
    }
  return NULL;
}

/* Set or clear the mark NAME in PARTS.  Returns whether PARTS changed.  */
static bool
mark_update (settings_parts_t *parts, const mark_ops_t *ops, const char *name,
             bool is_set)
{
  schema_strings_t *marks = mark_list (parts, ops);
  schema_string_t *mark = mark_find (marks, name);

  if ((mark != NULL) == is_set)
    return false;
  if (!is_set)
    {
      STAILQ_REMOVE (marks, mark, schema_string, link);
      return true;
    }
  mark = talloc_zero (parts, schema_string_t);
  mark->text = talloc_strdup (mark, name);
  STAILQ_INSERT_TAIL (marks, mark, link);
  return true;
}

/* Return the settings that PARTS describe, or NULL after reporting an error.
   The caller releases them.  */
static settings_t *
mark_build_settings (ctl_t *ctl, const settings_parts_t *parts)
{
  char *document = settings_parts_format (ctl->memory, parts);
  settings_t *settings;

  if (settings_from_document (document, strlen (document), &settings)
      == STATUS_OK)
    return settings;
  report_error (ctl, "cannot parse the current settings: %s",
                status_message ());
  return NULL;
}

/* Return the number of upstreams of SERVICE that get new requests.  */
static unsigned
mark_count_serving (const settings_t *settings, const char *service)
{
  const upstream_t *upstream;
  unsigned count = 0;

  STAILQ_FOREACH (upstream, &settings->upstreams, link)
    {
      if (strcmp (upstream->service, service) == 0 && !upstream->is_draining
          && settings_zone_serves (settings, upstream->zone))
        count++;
    }
  return count;
}

/* Refuse a change that removes the last serving upstream of a service, unless
   --force is given.  Services without one before are ignored.  */
static int
mark_check_services (ctl_t *ctl, const settings_t *before,
                     const settings_t *after)
{
  const service_t *service;
  int result = CTL_OK;

  STAILQ_FOREACH (service, &before->services, link)
    {
      if (mark_count_serving (before, service->name) == 0
          || mark_count_serving (after, service->name) > 0)
        continue;
      report_error (ctl,
                    "service '%s' would be left without any upstream in "
                    "service; use --force to do it anyway",
                    service->name);
      result = CTL_REFUSED;
    }
  return ctl->is_forced ? CTL_OK : result;
}

/* Check that NAME exists and that no service loses its last upstream.  Returns
   CTL_OK, CTL_ERROR or CTL_REFUSED.  */
static int
mark_check (ctl_t *ctl, const mark_ops_t *ops, const char *name,
            const settings_parts_t *before, const settings_parts_t *after)
{
  settings_t *old = mark_build_settings (ctl, before);
  settings_t *new = old == NULL ? NULL : mark_build_settings (ctl, after);
  int result = CTL_ERROR;

  if (new != NULL && !ops->exists (new, name))
    report_error (ctl, "%s '%s' does not exist", ops->kind_name, name);
  else if (new != NULL)
    result = mark_check_services (ctl, old, new);
  if (new != NULL)
    settings_release (new);
  if (old != NULL)
    settings_release (old);
  return result;
}

/* Make the change once, based on the newest revision, and store the revision
   that has it in *REVISION.  CTL_CONFLICT means that another change was
   written meanwhile and the attempt should be retried.  */
static int
mark_attempt (ctl_t *ctl, const mark_ops_t *ops, const char *name, bool is_set,
              uint64_t *revision)
{
  stored_settings_t current;
  settings_parts_t *parts;
  bool is_change;
  int result = revision_read (ctl, &current);

  if (result != CTL_OK)
    return result;
  parts = revision_copy (ctl, &current);
  is_change = mark_update (parts, ops, name, is_set);
  result = mark_check (ctl, ops, name, current.parts, parts);
  if (result != CTL_OK)
    return result;
  *revision = current.parts->revision;
  report_json_set (ctl, "changed", json_boolean (is_change));
  if (!is_change)
    {
      report_json_set_number (ctl, "revision", *revision);
      report_line (ctl, "%s %s is already %s at revision %llu", ops->kind_name,
                   name, is_set ? ops->set_text : ops->unset_text,
                   (unsigned long long)*revision);
      return CTL_OK;
    }
  result = revision_write (ctl, &current, parts);
  if (result != CTL_OK)
    return result;
  *revision = parts->revision;
  report_line (ctl, "%s %s is %s as of revision %llu", ops->kind_name, name,
               is_set ? ops->set_text : ops->unset_text,
               (unsigned long long)*revision);
  return CTL_OK;
}

/* Set or clear the mark NAME of KIND, then wait until the processes that can
   be probed have the revision.  Marks commute with other changes, so a
   concurrent change is no conflict: the mark is applied again to the new
   revision, after a delay that grows with each attempt.  Returns an exit
   status.  */
int
mark_change (ctl_t *ctl, mark_kind_t kind, const char *name, bool is_set)
{
  const mark_ops_t *ops = &mark_ops_table[kind];
  uint64_t revision = 0;
  int result;

  for (unsigned i = 1;; i++)
    {
      result = mark_attempt (ctl, ops, name, is_set, &revision);
      if (result != CTL_CONFLICT || i == MAX_ATTEMPTS)
        break;
      ctl_sleep (ctl, timespec_from_ms ((int64_t)RETRY_DELAY_STEP_MS * i));
    }
  if (result == CTL_CONFLICT)
    report_error (
        ctl, "%d attempts failed because of concurrent changes; try again",
        MAX_ATTEMPTS);
  if (result != CTL_OK || !ctl->is_wait_enabled)
    return result;
  return survey_await_revision (ctl, revision);
}

static void
mark_remove_stale_kind (settings_parts_t *parts, const settings_t *settings,
                        const mark_ops_t *ops)
{
  schema_strings_t *marks = mark_list (parts, ops);
  schema_string_t *mark;
  schema_string_t *next;

  for (mark = STAILQ_FIRST (marks); mark != NULL; mark = next)
    {
      next = STAILQ_NEXT (mark, link);
      if (!ops->exists (settings, mark->text))
        STAILQ_REMOVE (marks, mark, schema_string, link);
    }
}

/* Remove marks of zones and upstreams that the rules and the inventory of
   PARTS no longer have; otherwise they would apply to a later zone or upstream
   of the same name.  */
void
mark_remove_stale (ctl_t *ctl, settings_parts_t *parts)
{
  settings_parts_t *unmarked = settings_parts_create (ctl->memory);
  findings_t *findings = findings_create (ctl->memory);
  settings_t *settings;

  unmarked->rules = parts->rules;
  unmarked->inventory = parts->inventory;
  settings = settings_from_parts (unmarked, "rules", "inventory", findings);
  if (settings == NULL)
    return;
  for (unsigned i = 0; i < sizeof mark_ops_table / sizeof *mark_ops_table; i++)
    mark_remove_stale_kind (parts, settings, &mark_ops_table[i]);
  settings_release (settings);
}
