#include "common/rules.h"

#include "kernel/clock.h"

#include <ctype.h>
#include <string.h>

/* Separates host and prefix in the index; neither may hold it.  */
static const char index_separator = '\n';

/* Return the first LENGTH characters of TEXT in lower case.  */
static char *
lower_copy (TALLOC_CTX *parent, const char *text, size_t length)
{
  char *copy = talloc_strndup (parent, text, length);

  for (size_t i = 0; copy != NULL && i < length; i++)
    copy[i] = (char)tolower ((unsigned char)copy[i]);
  return copy;
}

/* Create rules of VERSION without routes.  The caller fills them, then calls
   rules_finish and owns the first reference.  Returns NULL when memory is
   exhausted.  */
rules_t *
rules_create (uint64_t version)
{
  rules_t *rules = talloc_zero (NULL, rules_t);

  if (rules == NULL)
    return NULL;
  atomic_init (&rules->references, 1);
  rules->version = version;
  STAILQ_INIT (&rules->routes);
  STAILQ_INIT (&rules->accounts);
  STAILQ_INIT (&rules->services);
  return rules;
}

/* Add a route for the paths at HOST that begin with PREFIX.  */
route_t *
rules_add_route (rules_t *rules, const char *name, const char *host,
                 const char *prefix)
{
  route_t *route = talloc_zero (rules, route_t);

  if (route == NULL)
    return NULL;
  route->name = talloc_strdup (route, name);
  route->host = lower_copy (route, host, strlen (host));
  route->prefix = talloc_strdup (route, prefix);
  STAILQ_INIT (&route->targets);
  STAILQ_INIT (&route->regions);
  STAILQ_INSERT_TAIL (&rules->routes, route, link);
  return route;
}

/* Have the part WEIGHT of ROUTE's requests go to SERVICE.  */
void
route_add_target (route_t *route, const char *service, unsigned weight)
{
  route_target_t *target = talloc_zero (route, route_target_t);

  if (target == NULL)
    return;
  target->service = talloc_strdup (target, service);
  target->weight = weight;
  route->weight_total += weight;
  STAILQ_INSERT_TAIL (&route->targets, target, link);
}

/* Let ROUTE's requests reach upstreams in REGION; without any call, all.  */
void
route_add_region (route_t *route, const char *region)
{
  route_region_t *allowed = talloc_zero (route, route_region_t);

  if (allowed == NULL)
    return;
  allowed->name = talloc_strdup (allowed, region);
  STAILQ_INSERT_TAIL (&route->regions, allowed, link);
}

/* Add a customer.  */
client_account_t *
rules_add_account (rules_t *rules, const char *name)
{
  client_account_t *account = talloc_zero (rules, client_account_t);

  if (account == NULL)
    return NULL;
  account->name = talloc_strdup (account, name);
  STAILQ_INSERT_TAIL (&rules->accounts, account, link);
  return account;
}

/* Have requests that carry KEY count as ACCOUNT's.  */
void
rules_add_key (rules_t *rules, const char *key,
               const client_account_t *account)
{
  name_index_add (&rules->key_index, rules, talloc_strdup (rules, key),
                  account);
}

/* Add a service.  */
service_rule_t *
rules_add_service (rules_t *rules, const char *name)
{
  service_rule_t *service = talloc_zero (rules, service_rule_t);

  if (service == NULL)
    return NULL;
  service->name = talloc_strdup (service, name);
  STAILQ_INSERT_TAIL (&rules->services, service, link);
  return service;
}

/* The shortest pause between events that a route to SERVICE allows.  */
static struct timespec
service_gap_limit (const rules_t *rules, const service_rule_t *service)
{
  struct timespec limit = { 0, 0 };
  const route_t *route;
  const route_target_t *target;

  STAILQ_FOREACH (route, &rules->routes, link)
    {
      if (timespec_to_us (route->gap_limit) <= 0)
        continue;
      STAILQ_FOREACH (target, &route->targets, link)
        {
          if (strcmp (target->service, service->name) == 0
              && (timespec_to_us (limit) == 0
                  || timespec_compare (route->gap_limit, limit) < 0))
            limit = route->gap_limit;
        }
    }
  return limit;
}

/* Make RULES ready for lookups; nothing may be added afterwards.  */
void
rules_finish (rules_t *rules)
{
  const route_t *route;
  service_rule_t *service;

  STAILQ_FOREACH (route, &rules->routes, link)
    name_index_add (&rules->route_index, rules,
                    talloc_asprintf (rules, "%s%c%s", route->host,
                                     index_separator, route->prefix),
                    route);
  STAILQ_FOREACH (service, &rules->services, link)
    {
      service->gap_limit = service_gap_limit (rules, service);
      name_index_add (&rules->service_index, rules, service->name, service);
    }
  name_index_sort (&rules->route_index);
  name_index_sort (&rules->key_index);
  name_index_sort (&rules->service_index);
}

/* Take one more reference to RULES and return them.  */
rules_t *
rules_retain (rules_t *rules)
{
  atomic_fetch_add (&rules->references, 1);
  return rules;
}

/* Give a reference back; the last one frees RULES, which may be NULL.  */
void
rules_release (rules_t *rules)
{
  if (rules != NULL && atomic_fetch_sub (&rules->references, 1) == 1)
    talloc_free (rules);
}

/* Where the path of TARGET ends and its query starts.  */
static size_t
target_path_length (const char *target)
{
  return strcspn (target, "?#");
}

/* Return the route of a request for TARGET (a path with or without a query)
   at HOST: that with the longest prefix that begins the path, or NULL.  */
const route_t *
rules_route (const rules_t *rules, const char *host, const char *target)
{
  size_t host_length = strcspn (host, ":");
  size_t length = target_path_length (target);
  char *key = lower_copy (NULL, host, host_length);
  const route_t *route = NULL;

  key = talloc_strndup_append_buffer (key, &index_separator, 1);
  key = talloc_strndup_append_buffer (key, target, length);
  if (key == NULL)
    return NULL;
  for (; length > 0 && route == NULL; length--)
    {
      if (target[length - 1] != '/')
        continue;
      key[host_length + 1 + length] = '\0';
      route = name_index_find (&rules->route_index, key);
    }
  talloc_free (key);
  return route;
}

/* Return whose KEY it is, or NULL when it is nobody's.  */
const client_account_t *
rules_account_by_key (const rules_t *rules, const char *key)
{
  return name_index_find (&rules->key_index, key);
}

/* Return what the operators say of the service NAME, or NULL.  */
const service_rule_t *
rules_service (const rules_t *rules, const char *name)
{
  return name_index_find (&rules->service_index, name);
}

/* Return whether a request of ROUTE may run more than once.  */
bool
route_is_repeatable (const route_t *route)
{
  return route->kind == ROUTE_REPEATABLE
         || (route->kind == ROUTE_STREAM && route->is_resumable);
}

/* Return whether ROUTE's requests may reach upstreams in REGION.  */
bool
route_allows_region (const route_t *route, const char *region)
{
  const route_region_t *allowed;

  if (STAILQ_EMPTY (&route->regions))
    return true;
  STAILQ_FOREACH (allowed, &route->regions, link)
    {
      if (strcmp (allowed->name, region) == 0)
        return true;
    }
  return false;
}

/* Return the service that a request with the random number DRAW goes to, or
   NULL when the route has none.  */
const char *
route_choose_target (const route_t *route, uint64_t draw)
{
  const route_target_t *target;
  uint64_t left;

  if (route->weight_total == 0)
    return NULL;
  left = draw % route->weight_total;
  STAILQ_FOREACH (target, &route->targets, link)
    {
      if (left < target->weight)
        return target->service;
      left -= target->weight;
    }
  return NULL;
}
