#include "relay/fleet_state.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"

#include <string.h>

COUNTER_DEFINE (none_chosen, "siskin_fleet_no_candidate_total",
                "Times that no upstream could be chosen");

static bool
was_tried (const fleet_request_t *request, const char *id)
{
  for (unsigned i = 0; i < request->tried_count; i++)
    {
      if (strcmp (request->tried[i], id) == 0)
        return true;
    }
  return false;
}

/* Whether UPSTREAM may get REQUEST at all.  */
static bool
is_allowed (fleet_t *fleet, const fleet_upstream_t *upstream,
            const fleet_request_t *request)
{
  return !upstream->is_draining
         && !fleet_zone_of (fleet, upstream->zone)->is_out
         && route_allows_region (request->route, upstream->region)
         && !was_tried (request, upstream->id);
}

/* Collect the upstreams that can take REQUEST.  With IS_DESPERATE also those
   that have failed lately.  Sets *SHORTAGE when there is none.  */
static unsigned
collect (fleet_t *fleet, const fleet_service_t *service,
         const fleet_request_t *request, bool is_desperate,
         fleet_shortage_t *shortage)
{
  struct timespec now = clock_monotonic (fleet->clock);
  fleet_upstream_t *upstream;
  unsigned count = 0;

  *shortage = FLEET_NONE_LISTED;
  STAILQ_FOREACH (upstream, &service->upstreams, link)
    {
      if (*shortage < FLEET_NONE_ALLOWED)
        *shortage = FLEET_NONE_ALLOWED;
      if (!is_allowed (fleet, upstream, request))
        continue;
      if (!is_desperate && health_is_shunned (upstream, now))
        *shortage = FLEET_ALL_FAILING;
      else if (!cold_has_room (fleet, upstream, now))
        {
          if (*shortage < FLEET_ALL_COLD)
            *shortage = FLEET_ALL_COLD;
        }
      else
        {
          fleet->candidates[count] = &upstream->candidate;
          fleet->chosen_from[count++] = upstream;
        }
    }
  return count;
}

static void
take (fleet_upstream_t *upstream, const pick_work_t *work)
{
  upstream->candidate.outstanding_requests++;
  upstream->candidate.outstanding_tokens
      += work->prompt_tokens + work->output_tokens;
}

static fleet_shortage_t
choose_locked (fleet_t *fleet, TALLOC_CTX *parent,
               const fleet_request_t *request, fleet_choice_t *choice)
{
  struct timespec now = clock_monotonic (fleet->clock);
  fleet_service_t *service = fleet_find_service (fleet, request->service);
  fleet_shortage_t shortage;
  pick_choice_t picked = { 0 };
  fleet_upstream_t *upstream;
  unsigned count;

  if (service == NULL)
    return FLEET_NONE_LISTED;
  count = collect (fleet, service, request, false, &shortage);
  if (count == 0 && shortage == FLEET_ALL_FAILING)
    count = collect (fleet, service, request, true, &shortage);
  if (count == 0)
    return shortage;
  service->ops->choose (service->pick, &request->work, fleet->candidates,
                        count, now, &picked);
  upstream = fleet->chosen_from[picked.index];
  *choice = (fleet_choice_t){
    .upstream = talloc_strdup (parent, upstream->id),
    .address = talloc_strdup (parent, upstream->address),
    .zone = talloc_strdup (parent, upstream->zone),
    .reason = picked.reason,
    .is_cold = cold_is_cold (upstream, now),
    .candidates = count,
  };
  cold_take (upstream);
  take (upstream, &request->work);
  return FLEET_HAS_ONE;
}

/* Choose an upstream for REQUEST and count the request there.  Unless one was
   found CHOICE is not set.  */
fleet_shortage_t
fleet_choose (fleet_t *fleet, TALLOC_CTX *parent,
              const fleet_request_t *request, fleet_choice_t *choice)
{
  fleet_shortage_t shortage;

  table_lock (fleet->table);
  shortage = choose_locked (fleet, parent, request, choice);
  table_unlock (fleet->table);
  if (shortage != FLEET_HAS_ONE)
    counter_add (&none_chosen, 1);
  return shortage;
}

/* The request with WORK at the upstream ID has ended.  */
void
fleet_release (fleet_t *fleet, const char *id, const pick_work_t *work,
               fleet_result_t result)
{
  fleet_upstream_t *upstream;
  uint64_t tokens = work->prompt_tokens + work->output_tokens;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  /* It may have gone and come back under its id meanwhile.  */
  if (upstream != NULL && upstream->candidate.outstanding_requests > 0)
    {
      pick_candidate_t *candidate = &upstream->candidate;

      candidate->outstanding_requests--;
      candidate->outstanding_tokens -= tokens < candidate->outstanding_tokens
                                           ? tokens
                                           : candidate->outstanding_tokens;
      health_note (upstream, result, clock_monotonic (fleet->clock));
    }
  table_unlock (fleet->table);
}

/* Note what the upstream ID told of its load.  */
void
fleet_note_load (fleet_t *fleet, const char *id, uint64_t running,
                 uint64_t waiting, uint64_t slots)
{
  fleet_upstream_t *upstream;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  if (upstream != NULL)
    {
      pick_candidate_t *candidate = &upstream->candidate;

      candidate->report.at = clock_monotonic (fleet->clock);
      candidate->report.outstanding_requests = running;
      candidate->report.queued_requests = waiting;
      if (slots > 0)
        candidate->report.limit_requests = slots;
      candidate->report.outstanding_tokens
          = (uint64_t)((double)(running + waiting)
                       * upstream->service->tokens_a_slot);
      candidate->requests_at_report = candidate->outstanding_requests;
      candidate->tokens_at_report = candidate->outstanding_tokens;
    }
  table_unlock (fleet->table);
}
