#include "common/settings_read.h"

#include <string.h>
#include <strings.h>

/* Return the zone NAME, or NULL.  */
const zone_t *
settings_zone (const settings_t *settings, const char *name)
{
  return name_index_find (&settings->zone_index, name);
}

/* Return the client account NAME, or NULL.  */
const account_t *
settings_account (const settings_t *settings, const char *name)
{
  return name_index_find (&settings->account_index, name);
}

/* Return the service NAME, or NULL.  */
const service_t *
settings_service (const settings_t *settings, const char *name)
{
  return name_index_find (&settings->service_index, name);
}

/* Return the upstream NAME, or NULL.  */
const upstream_t *
settings_upstream (const settings_t *settings, const char *name)
{
  return name_index_find (&settings->upstream_index, name);
}

/* Return whether PATH is PREFIX or lies below it.  */
bool
settings_path_has_prefix (const char *path, const char *prefix)
{
  size_t length = strlen (prefix);

  if (strncmp (path, prefix, length) != 0)
    return false;
  return path[length] == '\0' || path[length] == '/' || path[length] == '?'
         || (length > 0 && prefix[length - 1] == '/');
}

static bool
service_has_model (const service_t *service, const char *model)
{
  const schema_string_t *name;

  if (STAILQ_EMPTY (&service->models))
    return true;
  STAILQ_FOREACH (name, &service->models, link)
    {
      if (strcmp (name->text, model) == 0)
        return true;
    }
  return false;
}

/* Return the service whose path prefix matches PATH and that has MODEL ("" for
   plain calls), or NULL.  The longest prefix wins.  */
const service_t *
settings_match_service (const settings_t *settings, const char *path,
                        const char *model)
{
  const service_t *best = NULL;
  const service_t *service;

  STAILQ_FOREACH (service, &settings->services, link)
    {
      if (service->path == NULL
          || !settings_path_has_prefix (path, service->path)
          || (service->kind == UPSTREAM_MODEL
              && !service_has_model (service, model)))
        continue;
      if (best == NULL || strlen (service->path) > strlen (best->path))
        best = service;
    }
  return best;
}

/* Return whether the zone NAME may get new work: the rules allow it and no
   operator has taken it out.  */
bool
settings_zone_serves (const settings_t *settings, const char *name)
{
  const zone_t *zone = settings_zone (settings, name);

  return zone != NULL && zone->serves && !zone->is_out;
}

/* Servers read such paths differently: with a doubled slash, a dot segment, an
   escape or a parameter, a path may name a resource that its text does not
   begin with.  */
static bool
path_is_ambiguous (const char *path)
{
  size_t length = strcspn (path, "?");

  for (size_t i = 0; i < length; i++)
    {
      if (path[i] == '%' || path[i] == ';' || path[i] == '\\')
        return true;
      if (path[i] == '/' && (path[i + 1] == '/' || path[i + 1] == '.'))
        return true;
    }
  return false;
}

static bool
method_is_safe (const char *method)
{
  return strcasecmp (method, "GET") == 0 || strcasecmp (method, "HEAD") == 0
         || strcasecmp (method, "OPTIONS") == 0;
}

static bool
rule_has_method (const at_most_once_rule_t *rule, const char *method)
{
  if (rule->method[0] == '\0')
    return !method_is_safe (method);
  return strcasecmp (rule->method, method) == 0;
}

/* Return whether a request may run more than once.  A path that servers may
   read in more than one way falls under every rule of its service.  */
bool
settings_is_repeatable (const settings_t *settings, const char *service,
                        const char *method, const char *path)
{
  bool is_ambiguous = path_is_ambiguous (path);
  const at_most_once_rule_t *rule;

  STAILQ_FOREACH (rule, &settings->at_most_once_rules, link)
    {
      if (strcmp (rule->service, service) == 0
          && rule_has_method (rule, method)
          && (is_ambiguous || settings_path_has_prefix (path, rule->path)))
        return false;
    }
  return true;
}
