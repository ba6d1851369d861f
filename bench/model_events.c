#include "bench/model_state.h"

static bool
event_is_earlier (const model_event_t *left, const model_event_t *right)
{
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us;
  return left->sequence < right->sequence;
}

static void
event_swap (model_event_t *left, model_event_t *right)
{
  model_event_t old_left = *left;

  *left = *right;
  *right = old_left;
}

/* Call HANDLER with DATA once, DELAY_US from now.  */
void
model_schedule (model_t *model, int64_t delay_us, model_handler_t handler,
                void *data)
{
  size_t index = model->event_count++;

  if (model->event_count > model->event_capacity)
    {
      model->event_capacity = model->event_count * 2;
      model->events = talloc_realloc (model, model->events, model_event_t,
                                      model->event_capacity);
    }
  model->events[index]
      = (model_event_t){ model->now_us + delay_us, model->next_sequence++,
                         handler, data };
  while (index > 0
         && event_is_earlier (&model->events[index],
                              &model->events[(index - 1) / 2]))
    {
      event_swap (&model->events[index], &model->events[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
}

/* Remove the earliest event and store it in EVENT.  Returns false if there is
   none.  */
bool
model_pop_event (model_t *model, model_event_t *event)
{
  size_t index = 0;

  if (model->event_count == 0)
    return false;
  *event = model->events[0];
  model->events[0] = model->events[--model->event_count];
  for (;;)
    {
      size_t child = 2 * index + 1;

      if (child + 1 < model->event_count
          && event_is_earlier (&model->events[child + 1],
                               &model->events[child]))
        child++;
      if (child >= model->event_count
          || !event_is_earlier (&model->events[child], &model->events[index]))
        return true;
      event_swap (&model->events[child], &model->events[index]);
      index = child;
    }
}

/* Return the next number of the splitmix64 generator with STATE.  */
uint64_t
splitmix64_next (uint64_t *state)
{
  uint64_t value = *state += 0x9e3779b97f4a7c15;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

/* Return a random number for the workload, which must be the same under every
   policy.  */
uint64_t
model_random (model_t *model)
{
  return splitmix64_next (&model->workload_random);
}

/* Return a random number for the workload, at least 0 and below 1.  */
double
model_random_unit (model_t *model)
{
  return (double)(model_random (model) >> 11) / (double)(1ULL << 53);
}
