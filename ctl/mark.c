#include "ctl/mark.h"

#include "ctl/exchange.h"
#include "ctl/report.h"
#include "ctl/revision.h"
#include "ctl/survey.h"

#include <string.h>

enum
{
  MAX_REBASES = 20,
  REBASE_DELAY_MS = 20
};

/* What differs between the kinds of marks.  */
typedef struct mark_ops
{
  size_t offset; /* of the list in settings_parts_t */
  const char *subject;
  const char *set;
  const char *unset;
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

static const mark_ops_t mark_kinds[] = {
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

/* Returns whether that changes anything.  */
static bool
mark_put (settings_parts_t *parts, const mark_ops_t *ops, const char *name,
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

static settings_t *
mark_read (ctl_t *ctl, const settings_parts_t *parts)
{
  char *document = settings_parts_format (ctl->memory, parts);
  settings_t *settings;

  if (settings_from_document (document, strlen (document), &settings)
      == STATUS_OK)
    return settings;
  report_error (ctl, "the settings in force cannot be read: %s",
                status_message ());
  return NULL;
}

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

/* Refuse a change after which a service has nothing left that serves.  */
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
                    "service '%s' would be left without any upstream that "
                    "serves; --force does it all the same",
                    service->name);
      result = CTL_REFUSED;
    }
  return ctl->is_forced ? CTL_OK : result;
}

static int
mark_check (ctl_t *ctl, const mark_ops_t *ops, const char *name,
            const settings_parts_t *before, const settings_parts_t *after)
{
  settings_t *old = mark_read (ctl, before);
  settings_t *new = old == NULL ? NULL : mark_read (ctl, after);
  int result = CTL_ERROR;

  if (new != NULL && !ops->exists (new, name))
    report_error (ctl, "%s '%s' does not exist", ops->subject, name);
  else if (new != NULL)
    result = mark_check_services (ctl, old, new);
  if (new != NULL)
    settings_release (new);
  if (old != NULL)
    settings_release (old);
  return result;
}

/* One try on the newest revision.  CTL_CONFLICT calls for another.  */
static int
mark_try (ctl_t *ctl, const mark_ops_t *ops, const char *name, bool is_set,
          uint64_t *revision)
{
  revision_t current;
  settings_parts_t *parts;
  bool is_change;
  int result = revision_read (ctl, &current);

  if (result != CTL_OK)
    return result;
  parts = revision_copy (ctl, &current);
  is_change = mark_put (parts, ops, name, is_set);
  result = mark_check (ctl, ops, name, current.parts, parts);
  if (result != CTL_OK)
    return result;
  *revision = current.parts->revision;
  report_set (ctl, "changed", json_boolean (is_change));
  if (!is_change)
    {
      report_set_number (ctl, "revision", *revision);
      report_line (ctl, "%s %s is %s already, at revision %llu", ops->subject,
                   name, is_set ? ops->set : ops->unset,
                   (unsigned long long)*revision);
      return CTL_OK;
    }
  result = revision_write (ctl, &current, parts);
  if (result != CTL_OK)
    return result;
  *revision = parts->revision;
  report_line (ctl, "%s %s is %s from revision %llu on", ops->subject, name,
               is_set ? ops->set : ops->unset, (unsigned long long)*revision);
  return CTL_OK;
}

/* Set or clear the mark NAME of KIND, then wait until the processes that can
   be asked have the revision.  Marks commute with other changes, so a lost
   race is no conflict: the change is made again on the revision that won.  */
int
mark_change (ctl_t *ctl, mark_kind_t kind, const char *name, bool is_set)
{
  const mark_ops_t *ops = &mark_kinds[kind];
  uint64_t revision = 0;
  int result;

  for (unsigned i = 1;; i++)
    {
      result = mark_try (ctl, ops, name, is_set, &revision);
      if (result != CTL_CONFLICT || i == MAX_REBASES)
        break;
      ctl_sleep (ctl, timespec_from_ms ((int64_t)REBASE_DELAY_MS * i));
    }
  if (result == CTL_CONFLICT)
    report_error (ctl, "%d changes by others came in between; try again",
                  MAX_REBASES);
  if (result != CTL_OK || !ctl->waits)
    return result;
  return survey_confirm (ctl, revision);
}

static void
mark_prune_kind (settings_parts_t *parts, const settings_t *settings,
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

/* Drop the marks of zones and upstreams that PARTS no longer have, lest they
   hit a new one of the same name later.  */
void
mark_prune (ctl_t *ctl, settings_parts_t *parts)
{
  settings_parts_t *bare = settings_parts_create (ctl->memory);
  findings_t *findings = findings_create (ctl->memory);
  settings_t *settings;

  bare->rules = parts->rules;
  bare->inventory = parts->inventory;
  settings = settings_from_parts (bare, "rules", "inventory", findings);
  if (settings == NULL)
    return;
  for (unsigned i = 0; i < sizeof mark_kinds / sizeof *mark_kinds; i++)
    mark_prune_kind (parts, settings, &mark_kinds[i]);
  settings_release (settings);
}
