#include "common/rules.h"

#include "kernel/clock.h"

#include <ctype.h>
#include <string.h>

/* Separates host and prefix in the keys of the route index; neither can
   contain it.  */
static const char index_separator = '\n';

/* Return a copy of the first LENGTH characters of TEXT in lower case, owned by
   PARENT.  */
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

/* Add a route for the paths at HOST that begin with PREFIX.  Returns NULL when
   memory is exhausted.  */
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

/* Send a share of ROUTE's requests to SERVICE: WEIGHT out of the sum of all
   weights of the route.  */
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

/* Allow ROUTE's requests to reach upstreams in REGION.  Without any call, all
   regions are allowed.  */
void
route_add_region (route_t *route, const char *region)
{
  route_region_t *allowed = talloc_zero (route, route_region_t);

  if (allowed == NULL)
    return;
  allowed->name = talloc_strdup (allowed, region);
  STAILQ_INSERT_TAIL (&route->regions, allowed, link);
}

/* Add a client account.  Returns NULL when memory is exhausted.  */
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

/* Assign requests that carry KEY to ACCOUNT.  */
void
rules_add_key (rules_t *rules, const char *key,
               const client_account_t *account)
{
  name_index_add (&rules->key_index, rules, talloc_strdup (rules, key),
                  account);
}

/* Add a service.  Returns NULL when memory is exhausted.  */
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

/* Return the minimum of the gap limits of the routes to SERVICE, or zero if
   none has a limit.  */
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

/* Collect the priorities that are in use.  The requests of an account without
   one count as having that of their route.  */
static void
rules_collect_priorities (rules_t *rules)
{
  const route_t *route;
  const client_account_t *account;
  bool needs_route_priorities = !rules->has_accounts;

  STAILQ_FOREACH (account, &rules->accounts, link)
    {
      if (account->has_priority)
        priority_set_add (&rules->account_priorities, account->priority);
      else
        needs_route_priorities = true;
    }
  STAILQ_FOREACH (route, &rules->routes, link)
    {
      priority_set_add (&rules->route_priorities, route->priority);
      if (needs_route_priorities || route->is_public)
        priority_set_add (&rules->account_priorities, route->priority);
    }
}

/* Index RULES for lookups.  Nothing may be added afterwards.  */
void
rules_finish (rules_t *rules)
{
  const route_t *route;
  service_rule_t *service;

  rules_collect_priorities (rules);
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

/* Take a reference to RULES and return them.  */
rules_t *
rules_retain (rules_t *rules)
{
  atomic_fetch_add (&rules->references, 1);
  return rules;
}

/* Release a reference to RULES, which may be NULL.  The last one frees
   them.  */
void
rules_release (rules_t *rules)
{
  if (rules != NULL && atomic_fetch_sub (&rules->references, 1) == 1)
    talloc_free (rules);
}

/* Return the length of the path of TARGET, without its query.  */
static size_t
target_path_length (const char *target)
{
  return strcspn (target, "?#");
}

/* Return the route of a request for TARGET (a path with or without a query) at
   HOST: the one with the longest matching prefix, or NULL.  */
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

/* Return the client account that KEY belongs to, or NULL.  */
const client_account_t *
rules_account_by_key (const rules_t *rules, const char *key)
{
  return name_index_find (&rules->key_index, key);
}

/* Return the rule for the service NAME, or NULL.  */
const service_rule_t *
rules_service (const rules_t *rules, const char *name)
{
  return name_index_find (&rules->service_index, name);
}

/* Return the urgency of a request of ROUTE and ACCOUNT, which is NULL for
   none.  The priority of the account comes first, then that of the route.  */
unsigned
rules_urgency (const rules_t *rules, const route_t *route,
               const client_account_t *account)
{
  int64_t account_priority = account != NULL && account->has_priority
                                 ? account->priority
                                 : route->priority;
  unsigned levels
      = rules->account_priorities.count * rules->route_priorities.count;
  unsigned level
      = priority_set_rank (&rules->account_priorities, account_priority)
            * rules->route_priorities.count
        + priority_set_rank (&rules->route_priorities, route->priority);

  if (levels > RULES_MAX_URGENCY + 1)
    level = level * (RULES_MAX_URGENCY + 1) / levels;
  return level < RULES_MAX_URGENCY ? level : RULES_MAX_URGENCY;
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

/* Choose the service for a request by the weights of ROUTE's targets and
   RANDOM_NUMBER.  Returns NULL when the route has no targets.  */
const char *
route_choose_target (const route_t *route, uint64_t random_number)
{
  const route_target_t *target;
  uint64_t remaining;

  if (route->weight_total == 0)
    return NULL;
  remaining = random_number % route->weight_total;
  STAILQ_FOREACH (target, &route->targets, link)
    {
      if (remaining < target->weight)
        return target->service;
      remaining -= target->weight;
    }
  return NULL;
}
