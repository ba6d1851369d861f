#include "common/store_generation.h"

#include "kernel/counter.h"
#include "kernel/log.h"

enum
{
  /* A restore takes back fewer revisions than this: a store of 3,200 writes a
     second has as many in an hour and a half.  */
  MAX_REVISIONS_LOST = 1 << 24,
  /* Fences start again after this many generations.  They leave room for the
     factor by which a term is multiplied in the fences of commands.  */
  FENCE_GENERATIONS = 1 << 18
};

COUNTER_DEFINE (restores_seen, "siskin_store_restores_total",
                "Restores of the store from a copy that were noticed");

struct store_generation
{
  uint64_t number;  /* 0: not known yet */
  unsigned changes; /* of NUMBER that were noticed */
  LIST_HEAD (, store_listener) listeners;
};

/* Create a generation that is not known yet.  Returns NULL when memory is
   exhausted.  */
store_generation_t *
store_generation_create (TALLOC_CTX *parent)
{
  store_generation_t *generation = talloc_zero (parent, store_generation_t);

  if (generation != NULL)
    LIST_INIT (&generation->listeners);
  return generation;
}

/* Return the number of the generation, which rises with each restore; 0 if it
   is not known.  */
uint64_t
store_generation_number (const store_generation_t *generation)
{
  return generation->number;
}

/* Return a fencing token for the leader whose key was written at REVISION in
   the present generation.  It is higher than those of all earlier revisions,
   also of earlier generations.  */
uint64_t
store_generation_fence (const store_generation_t *generation, int64_t revision)
{
  return generation->number % FENCE_GENERATIONS * MAX_REVISIONS_LOST
         + (uint64_t)revision;
}

/* Return how often the number has changed, for store_generation_accept.  */
unsigned
store_generation_changes (const store_generation_t *generation)
{
  return generation->changes;
}

static store_listener_t *
find_untold (const store_generation_t *generation)
{
  store_listener_t *listener;

  LIST_FOREACH (listener, &generation->listeners, link)
    {
      if (listener->changes != generation->changes)
        return listener;
    }
  return NULL;
}

/* A listener may remove itself and others.  */
static void
tell_listeners (const store_generation_t *generation)
{
  store_listener_t *listener;

  while ((listener = find_untold (generation)) != NULL)
    {
      listener->changes = generation->changes;
      listener->on_restored (listener->data);
    }
}

static void
handle_restore (store_generation_t *generation, uint64_t number_before)
{
  log_event (LOG_LEVEL_WARN, "store-restored", "generation=%llu before=%llu",
             (unsigned long long)generation->number,
             (unsigned long long)number_before);
  counter_add (&restores_seen, 1);
  tell_listeners (generation);
}

/* Handle a response that names the generation NUMBER, to a call that was sent
   when the number had changed CHANGES_BEFORE times.  Returns false if it comes
   from a generation that has ended: what it reports may be lost.  A call that
   was sent in the present generation can't be answered by an earlier one, so
   a lower number then means that the store has changed once more.  */
bool
store_generation_accept (store_generation_t *generation,
                         unsigned changes_before, uint64_t number)
{
  uint64_t number_before = generation->number;

  if (number == number_before)
    return true;
  if (number < number_before && changes_before != generation->changes)
    return false;
  generation->number = number;
  generation->changes++;
  if (number_before != 0)
    handle_restore (generation, number_before);
  return true;
}

/* Tell LISTENER of each restore that is noticed from now on.  */
void
store_generation_listen (store_generation_t *generation,
                         store_listener_t *listener)
{
  listener->changes = generation->changes;
  LIST_INSERT_HEAD (&generation->listeners, listener, link);
}

/* Tell LISTENER of no more restores.  */
void
store_generation_unlisten (store_listener_t *listener)
{
  LIST_REMOVE (listener, link);
}
