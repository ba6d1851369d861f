#include "bench/model_state.h"

static bool
event_is_before (const model_event_t *left, const model_event_t *right)
{
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us;
  return left->order < right->order;
}

static void
event_swap (model_event_t *left, model_event_t *right)
{
  model_event_t kept = *left;

  *left = *right;
  *right = kept;
}

/* Run HANDLER once DELAY_US from now.  */
void
model_post (model_t *model, int64_t delay_us, model_handler_t handler,
            void *data)
{
  size_t place = model->event_count++;

  if (model->event_count > model->event_room)
    {
      model->event_room = model->event_count * 2;
      model->events = talloc_realloc (model, model->events, model_event_t,
                                      model->event_room);
    }
  model->events[place] = (model_event_t){ model->now_us + delay_us,
                                          model->next_order++, handler, data };
  while (place > 0
         && event_is_before (&model->events[place],
                             &model->events[(place - 1) / 2]))
    {
      event_swap (&model->events[place], &model->events[(place - 1) / 2]);
      place = (place - 1) / 2;
    }
}

/* Take the next event; false when there is none.  */
bool
model_next (model_t *model, model_event_t *event)
{
  size_t place = 0;

  if (model->event_count == 0)
    return false;
  *event = model->events[0];
  model->events[0] = model->events[--model->event_count];
  for (;;)
    {
      size_t child = 2 * place + 1;

      if (child + 1 < model->event_count
          && event_is_before (&model->events[child + 1],
                              &model->events[child]))
        child++;
      if (child >= model->event_count
          || !event_is_before (&model->events[child], &model->events[place]))
        return true;
      event_swap (&model->events[child], &model->events[place]);
      place = child;
    }
}

/* Return a number of the splitmix64 sequence at STATE.  */
uint64_t
model_draw (uint64_t *state)
{
  uint64_t value = *state += 0x9e3779b97f4a7c15;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

/* Return a number for the workload, which policies do not change.  */
uint64_t
model_random (model_t *model)
{
  return model_draw (&model->workload_random);
}

/* Return a number of the workload of at least 0 and below 1.  */
double
model_random_unit (model_t *model)
{
  return (double)(model_random (model) >> 11) / (double)(1ULL << 53);
}
