#include "common/settings_read.h"

#include "kernel/clock.h"
#include "kernel/plugin.h"

#include <stdlib.h>
#include <string.h>

/* Every kind of named object in the rules begins its life with its name, so
   one report of a duplicate serves them all.  */
typedef struct duplicate_check
{
  const schema_source_t *source;
  const char *kind;
  size_t name_offset;
  size_t line_offset;
} duplicate_check_t;

static void
check_report_duplicate (const void *first, const void *second, void *data)
{
  const duplicate_check_t *check = data;
  const char *first_bytes = first;
  const char *second_bytes = second;
  const char *const *name = (const void *)(second_bytes + check->name_offset);
  const unsigned *line = (const void *)(first_bytes + check->line_offset);

  schema_add_finding (check->source, name, second,
                      "%s '%s' is there already, on line %u", check->kind,
                      *name, *line);
}

static void
check_duplicates (const settings_t *settings, const schema_source_t *source)
{
  duplicate_check_t zones
      = { source, "zone", offsetof (zone_t, name), offsetof (zone_t, line) };
  duplicate_check_t accounts = { source, "account", offsetof (account_t, name),
                                 offsetof (account_t, line) };
  duplicate_check_t services = { source, "service", offsetof (service_t, name),
                                 offsetof (service_t, line) };

  name_index_report_duplicates (&settings->zone_index, check_report_duplicate,
                                &zones);
  name_index_report_duplicates (&settings->account_index,
                                check_report_duplicate, &accounts);
  name_index_report_duplicates (&settings->service_index,
                                check_report_duplicate, &services);
}

static void
check_zones (const settings_t *settings, const schema_source_t *source)
{
  bool may_serve = false;
  const zone_t *zone;

  STAILQ_FOREACH (zone, &settings->zones, link)
    may_serve = may_serve || zone->serves;
  zone = STAILQ_FIRST (&settings->zones);
  if (zone != NULL && !may_serve)
    schema_add_finding (source, &zone->serves, zone,
                        "no zone may serve; set 'serves' on one of them");
}

static void
check_service (service_t *service, const schema_source_t *source)
{
  if (strcmp (service->kind_text, "model") == 0)
    service->kind = UPSTREAM_MODEL;
  else if (strcmp (service->kind_text, "plain") == 0)
    service->kind = UPSTREAM_PLAIN;
  else
    schema_add_finding (source, &service->kind_text, service,
                        "service kind '%s' is not model or plain",
                        service->kind_text);
  if (service->kind == UPSTREAM_PLAIN && !STAILQ_EMPTY (&service->models))
    schema_add_finding (source, &service->models, service,
                        "a plain service has no models");
  if (service->path != NULL && service->path[0] != '/')
    schema_add_finding (source, &service->path, service,
                        "path '%s' does not start with '/'", service->path);
}

static bool
services_share_model (const service_t *left, const service_t *right)
{
  const schema_string_t *mine;
  const schema_string_t *theirs;

  if (STAILQ_EMPTY (&left->models) || STAILQ_EMPTY (&right->models))
    return true;
  STAILQ_FOREACH (mine, &left->models, link)
    {
      STAILQ_FOREACH (theirs, &right->models, link)
        {
          if (strcmp (mine->text, theirs->text) == 0)
            return true;
        }
    }
  return false;
}

static size_t
path_length (const char *path)
{
  size_t length = strlen (path);

  while (length > 1 && path[length - 1] == '/')
    length--;
  return length;
}

static bool
paths_are_same (const char *left, const char *right)
{
  size_t length = path_length (left);

  return length == path_length (right) && strncmp (left, right, length) == 0;
}

/* Nested prefixes are fine, since the longest wins; of two services with the
   same prefix and a common model one would never be chosen.  */
static void
check_path_overlap (const settings_t *settings, const service_t *service,
                    const schema_source_t *source)
{
  const service_t *earlier;

  STAILQ_FOREACH (earlier, &settings->services, link)
    {
      if (earlier == service)
        return;
      if (earlier->path != NULL && service->path != NULL
          && paths_are_same (earlier->path, service->path)
          && services_share_model (earlier, service))
        schema_add_finding (
            source, &service->path, service,
            "path '%s' and a model are those of service '%s' on "
            "line %u too",
            service->path, earlier->name == NULL ? "" : earlier->name,
            earlier->line);
    }
}

static void
check_repeat_rule (const settings_t *settings, const at_most_once_rule_t *rule,
                   const schema_source_t *source)
{
  const service_t *service;

  if (rule->path[0] != '/')
    schema_add_finding (source, &rule->path, rule,
                        "path '%s' does not start with '/'", rule->path);
  if (rule->service == NULL)
    return;
  service = settings_service (settings, rule->service);
  if (service == NULL)
    schema_add_finding (source, &rule->service, rule,
                        "service '%s' does not exist", rule->service);
  else if (service->path != NULL
           && !settings_path_has_prefix (rule->path, service->path)
           && !settings_path_has_prefix (service->path, rule->path))
    schema_add_finding (source, &rule->path, rule,
                        "path '%s' is outside '%s', the path of service '%s'",
                        rule->path, service->path, rule->service);
}

static void
check_limits (const settings_t *settings, const schema_source_t *source)
{
  const request_limits_t *limits = &settings->limits;
  const admission_settings_t *admission = &settings->admission;

  if (timespec_compare (limits->default_deadline, limits->maximum_deadline)
      > 0)
    schema_add_finding (source, &limits->default_deadline,
                        &limits->maximum_deadline,
                        "'default_deadline' is above 'maximum_deadline'");
  if (admission->cold_requests > admission->maximum_requests)
    schema_add_finding (source, &admission->cold_requests,
                        &admission->maximum_requests,
                        "'cold_requests' is above 'maximum_requests'");
  if (admission->cold_tokens > admission->maximum_tokens)
    schema_add_finding (source, &admission->cold_tokens,
                        &admission->maximum_tokens,
                        "'cold_tokens' is above 'maximum_tokens'");
}

/* Check what depends on more than one key of the rules.  */
void
settings_check_rules (settings_t *settings, schema_source_t *source)
{
  service_t *service;
  const at_most_once_rule_t *rule;

  check_duplicates (settings, source);
  check_zones (settings, source);
  STAILQ_FOREACH (service, &settings->services, link)
    {
      check_service (service, source);
      check_path_overlap (settings, service, source);
    }
  STAILQ_FOREACH (rule, &settings->at_most_once_rules, link)
    check_repeat_rule (settings, rule, source);
  check_limits (settings, source);
}

static void
check_plugin (const schema_source_t *source, plugin_kind_t kind,
              const char *const *name)
{
  const plugin_t *plugin = plugin_next (kind, NULL);
  char *known;

  if (plugin == NULL || plugin_find (kind, *name) != NULL)
    return;
  known = talloc_strdup (NULL, plugin->name);
  while ((plugin = plugin_next (kind, plugin)) != NULL)
    known = talloc_asprintf_append_buffer (known, ", %s", plugin->name);
  schema_add_finding (source, name, NULL,
                      "%s '%s' does not exist; there are %s",
                      plugin_kind_name (kind), *name, known);
  talloc_free (known);
}

/* Check the names of plug-ins, for those kinds of which this program has
   any.  */
void
settings_check_plugins (const settings_t *settings,
                        const schema_source_t *source)
{
  const service_t *service;

  STAILQ_FOREACH (service, &settings->services, link)
    check_plugin (source, PLUGIN_PICK, &service->pick);
  check_plugin (source, PLUGIN_ADMISSION, &settings->admission.policy);
  check_plugin (source, PLUGIN_ORDER, &settings->admission.order);
  check_plugin (source, PLUGIN_JOURNAL, &settings->claims.journal);
  check_plugin (source, PLUGIN_PLACEMENT, &settings->placement.policy);
}

typedef struct group_member
{
  const upstream_t *upstream;
} group_member_t;

static int
compare_ranks (const void *left, const void *right)
{
  const upstream_t *first = ((const group_member_t *)left)->upstream;
  const upstream_t *second = ((const group_member_t *)right)->upstream;
  int order = strcmp (first->group, second->group);

  if (order != 0)
    return order;
  if (first->rank != second->rank)
    return first->rank < second->rank ? -1 : 1;
  return first->line < second->line ? -1 : 1;
}

/* Check the members of one group, sorted by rank: each rank from 0 on is there
   once, and all serve the same model.  */
static void
check_group (const group_member_t *members, size_t count,
             const schema_source_t *source)
{
  int64_t expected = 0;

  for (size_t i = 0; i < count; i++)
    {
      const upstream_t *member = members[i].upstream;

      if (i > 0 && member->rank == members[i - 1].upstream->rank)
        schema_add_finding (source, &member->rank, member,
                            "rank %lld of group '%s' is that of '%s' too",
                            (long long)member->rank, member->group,
                            members[i - 1].upstream->name);
      else if (member->rank != expected)
        schema_add_finding (
            source, &member->rank, member,
            "rank %lld of group '%s' is missing before rank %lld",
            (long long)expected, member->group, (long long)member->rank);
      if (strcmp (member->service, members[0].upstream->service) != 0
          || strcmp (member->model, members[0].upstream->model) != 0)
        schema_add_finding (
            source, &member->group, member,
            "group '%s' has members of another service or model",
            member->group);
      expected = member->rank + 1;
    }
}

static void
check_groups (const settings_t *settings, const schema_source_t *source)
{
  group_member_t *members = talloc_array (source->memory, group_member_t,
                                          settings->upstream_index.count + 1);
  const upstream_t *upstream;
  size_t count = 0;
  size_t start = 0;

  if (members == NULL)
    return;
  STAILQ_FOREACH (upstream, &settings->upstreams, link)
    {
      if (upstream->group[0] != '\0')
        members[count++].upstream = upstream;
    }
  if (count > 1)
    qsort (members, count, sizeof *members, compare_ranks);
  for (size_t end = 1; end <= count; end++)
    {
      if (end < count
          && strcmp (members[end].upstream->group,
                     members[start].upstream->group)
                 == 0)
        continue;
      check_group (members + start, end - start, source);
      start = end;
    }
}

static void
check_upstream (const settings_t *settings, const upstream_t *upstream,
                const schema_source_t *source)
{
  const service_t *service = settings_service (settings, upstream->service);
  const schema_string_t *model;
  bool is_known = false;

  if (upstream->group[0] != '\0' && upstream->kind != UPSTREAM_MODEL)
    schema_add_finding (source, &upstream->group, upstream,
                        "only model upstreams form a group");
  if (service == NULL)
    return;
  if (service->kind != upstream->kind)
    schema_add_finding (source, &upstream->kind, upstream,
                        "service '%s' is of kind %s", service->name,
                        service->kind_text);
  if (STAILQ_EMPTY (&service->models) || upstream->model[0] == '\0')
    return;
  STAILQ_FOREACH (model, &service->models, link)
    is_known = is_known || strcmp (model->text, upstream->model) == 0;
  if (!is_known)
    schema_add_finding (source, &upstream->model, upstream,
                        "model '%s' is not one of service '%s'",
                        upstream->model, service->name);
}

/* Check the inventory as a whole, against itself and the rules.  */
void
settings_check_inventory (settings_t *settings, schema_source_t *source)
{
  duplicate_check_t names = { source, "name", offsetof (upstream_t, name),
                              offsetof (upstream_t, line) };
  const upstream_t *upstream;

  name_index_report_duplicates (&settings->upstream_index,
                                check_report_duplicate, &names);
  STAILQ_FOREACH (upstream, &settings->upstreams, link)
    check_upstream (settings, upstream, source);
  check_groups (settings, source);
  if (STAILQ_EMPTY (&settings->upstreams)
      && findings_count (source->findings) == 0)
    findings_add (source->findings, source->file, 0, 0,
                  "the inventory lists no upstream");
}
