#include "agent/gate_state.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/table.h"

enum
{
  RETRY_AFTER_MS = 500
};

COUNTER_DEFINE_LABELLED (offers_started, "siskin_gate_offers_total",
                         "verdict=\"start\"", "Work offered to the gate");
COUNTER_DEFINE_LABELLED (offers_queued, "siskin_gate_offers_total",
                         "verdict=\"queued\"", "Work offered to the gate");
COUNTER_DEFINE_LABELLED (offers_refused, "siskin_gate_offers_total",
                         "verdict=\"refused\"", "Work offered to the gate");

static bool
gate_has_room (const gate_t *gate, uint64_t tokens, struct timespec now)
{
  admission_limit_t limit;

  gate_get_limit (gate, now, &limit);
  if (gate->outstanding.requests >= limit.requests)
    return false;
  /* A single request larger than the token limit may run alone.  */
  return gate->outstanding.requests == 0
         || gate->outstanding.tokens + tokens <= limit.tokens;
}

/* Count WORK as running on the upstream.  */
static void
gate_start (gate_t *gate, gate_work_t *work, struct timespec now)
{
  admission_limit_t limit;

  work->is_started = true;
  work->started_at = now;
  work->is_awaiting_first_byte = true;
  TAILQ_INSERT_TAIL (&gate->awaiting_first_byte, work, awaiting_link);
  gate->outstanding.requests++;
  gate->outstanding.tokens += work->item.tokens;
  gate_get_limit (gate, now, &limit);
  INVARIANT (gate->outstanding.requests <= limit.requests, "admission-limit");
}

static bool
gate_is_cold (const gate_t *gate, struct timespec now)
{
  admission_limit_t limit;

  gate_get_limit (gate, now, &limit);
  return limit.is_cold;
}

static gate_work_t *
gate_dequeue (gate_t *gate, order_item_t *item, struct timespec now,
              bool is_served)
{
  gate_work_t *work = CONTAINER_OF (item, gate_work_t, item);

  gate->order_ops->remove (gate->order, item, now, is_served);
  work->is_queued = false;
  gate->queued--;
  return work;
}

/* Remove ITEM from the queue and append its work to REFUSED with the reason
   REFUSAL.  */
static void
gate_refuse_queued (gate_t *gate, order_item_t *item, struct timespec now,
                    refusal_t refusal, gate_work_list_t *refused)
{
  gate_work_t *work = gate_dequeue (gate, item, now, false);

  work->refusal = refusal;
  STAILQ_INSERT_TAIL (refused, work, link);
}

/* Queue WORK.  If the queue is full, the queueing policy selects the work to
   refuse, which may be WORK itself.  */
static gate_verdict_t
gate_enqueue (gate_t *gate, gate_work_t *work, struct timespec now,
              gate_refusal_t *refusal, gate_work_list_t *evicted)
{
  order_item_t *evicted_item = NULL;

  if (gate->queued >= gate->queue_limit)
    evicted_item = gate->order_ops->choose_drop (gate->order, &work->item);
  if (evicted_item == &work->item)
    {
      refusal->refusal
          = gate_is_cold (gate, now) ? REFUSAL_COLD : REFUSAL_OVERLOAD;
      refusal->retry_after_ms = RETRY_AFTER_MS;
      return GATE_REFUSED;
    }
  if (evicted_item != NULL)
    {
      gate_refuse_queued (gate, evicted_item, now, REFUSAL_OVERLOAD, evicted);
    }
  gate->order_ops->push (gate->order, &work->item, now);
  work->is_queued = true;
  gate->queued++;
  return GATE_QUEUED;
}

/* Start, queue or refuse new WORK.  REFUSAL is set when the verdict is
   GATE_REFUSED.  Queued work that was evicted in favour of WORK is appended to
   EVICTED.  */
gate_verdict_t
gate_offer (gate_t *gate, gate_work_t *work, gate_refusal_t *refusal,
            gate_work_list_t *evicted)
{
  struct timespec now = clock_monotonic (gate->clock);
  gate_verdict_t verdict;

  lock_acquire (gate->lock);
  refusal->retry_after_ms = 0;
  refusal->refusal = gate_closed_reason (gate, now);
  if (refusal->refusal != REFUSAL_NONE)
    verdict = GATE_REFUSED;
  else if (!gate_latency_allows (&gate->latency, work->item.tokens,
                                 work->item.deadline, now))
    {
      refusal->refusal = REFUSAL_DEADLINE;
      verdict = GATE_REFUSED;
    }
  else if (gate->queued == 0 && gate_has_room (gate, work->item.tokens, now))
    {
      gate_start (gate, work, now);
      verdict = GATE_START;
    }
  else
    verdict = gate_enqueue (gate, work, now, refusal, evicted);
  if (gate->is_configured)
    gate_update_gauges (gate, now);
  lock_release (gate->lock);
  counter_add (verdict == GATE_START    ? &offers_started
               : verdict == GATE_QUEUED ? &offers_queued
                                        : &offers_refused,
               1);
  return verdict;
}

static void
gate_stop_awaiting (gate_t *gate, gate_work_t *work)
{
  if (!work->is_awaiting_first_byte)
    return;
  work->is_awaiting_first_byte = false;
  TAILQ_REMOVE (&gate->awaiting_first_byte, work, awaiting_link);
}

/* Record that the first byte of the response to WORK has arrived.  */
void
gate_record_first_byte (gate_t *gate, gate_work_t *work)
{
  lock_acquire (gate->lock);
  gate_stop_awaiting (gate, work);
  lock_release (gate->lock);
}

/* Record the end of WORK, if it was started.  SAMPLE is NULL when the upstream
   did not receive the work.  */
void
gate_finish (gate_t *gate, gate_work_t *work, const admission_sample_t *sample)
{
  struct timespec now = clock_monotonic (gate->clock);
  admission_outstanding_t before;

  lock_acquire (gate->lock);
  if (work->is_started)
    {
      before = gate->outstanding;
      work->is_started = false;
      gate_stop_awaiting (gate, work);
      gate->outstanding.requests--;
      gate->outstanding.tokens -= work->item.tokens;
      if (sample != NULL)
        {
          gate_latency_record (&gate->latency, sample, now);
          gate->admission_ops->record_end (gate->admission, sample, &before,
                                           now);
        }
      gate_update_gauges (gate, now);
    }
  lock_release (gate->lock);
}

/* Record that started WORK was aborted by this agent.  It counts as
   outstanding until a report shows that the upstream has dropped it, or until
   the upstream has had the time to stop it.  */
void
gate_abort (gate_t *gate, gate_work_t *work)
{
  lock_acquire (gate->lock);
  if (work->is_started)
    {
      work->is_started = false;
      gate_stop_awaiting (gate, work);
      aborted_work_add (&gate->aborted_work, gate, work->item.tokens,
                        clock_monotonic (gate->clock));
    }
  lock_release (gate->lock);
}

/* Remove WORK from the queue if it is queued.  Returns false when it has
   already been started.  */
bool
gate_withdraw (gate_t *gate, gate_work_t *work)
{
  bool is_started;

  lock_acquire (gate->lock);
  if (work->is_queued)
    gate_dequeue (gate, &work->item, clock_monotonic (gate->clock), false);
  is_started = work->is_started;
  lock_release (gate->lock);
  return !is_started;
}

static void
gate_start_queued (gate_t *gate, order_item_t *item, struct timespec now,
                   gate_work_list_t *started)
{
  gate_work_t *work = gate_dequeue (gate, item, now, true);

  gate_start (gate, work, now);
  STAILQ_INSERT_TAIL (started, work, link);
}

/* Append to STARTED the queued work that may start now, and to REFUSED the
   queued work that cannot meet its deadline or that a closed gate no longer
   admits.  */
void
gate_dequeue_ready (gate_t *gate, gate_work_list_t *started,
                    gate_work_list_t *refused)
{
  struct timespec now = clock_monotonic (gate->clock);
  refusal_t closed_reason;
  order_item_t *item;

  lock_acquire (gate->lock);
  closed_reason = gate_closed_reason (gate, now);
  while (gate->queued > 0
         && (item = gate->order_ops->find_expired (gate->order, now)) != NULL)
    gate_refuse_queued (gate, item, now, REFUSAL_DEADLINE, refused);
  while (gate->queued > 0
         && (item = gate->order_ops->peek (gate->order, now)) != NULL)
    {
      if (closed_reason != REFUSAL_NONE)
        gate_refuse_queued (gate, item, now, closed_reason, refused);
      else if (!gate_latency_allows (&gate->latency, item->tokens,
                                     item->deadline, now))
        gate_refuse_queued (gate, item, now, REFUSAL_DEADLINE, refused);
      else if (gate_has_room (gate, item->tokens, now))
        gate_start_queued (gate, item, now, started);
      else
        break;
    }
  if (gate->is_configured)
    gate_update_gauges (gate, now);
  lock_release (gate->lock);
}
