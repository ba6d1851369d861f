#include "relay/request_queue.h"

#include "kernel/clock.h"
#include "relay/event_rate.h"

#include <math.h>
#include <string.h>

enum
{
  /* A class that waits gets at least one of this many requests that are sent,
     so that more urgent classes can't starve it.  */
  GUARANTEED_TURN = 8,
  MAX_EXPECTED_WAIT_MS = 60000
};

static const double ms_per_s = 1000;

/* The queued requests of one service and urgency.  */
typedef struct request_class
{
  LIST_ENTRY (request_class) link;
  char *service;
  unsigned urgency;
  TAILQ_HEAD (, queued_request) requests; /* in order of arrival */
  /* More urgent requests that were sent while this class waited, since it was
     last served.  */
  unsigned passed_over;
  unsigned count;
  struct timespec waiting_since; /* valid unless it is empty */
  /* Rate at which its requests are sent.  It tells the capacity for a class
     that has been waiting for as long as it is averaged over.  */
  event_rate_t sendings;
} request_class_t;

struct request_queue
{
  /* The classes of a service are adjacent, the most urgent first.  Classes are
     kept once they are empty: there are few.  */
  LIST_HEAD (, request_class) classes;
};

/* Create an empty queue.  Returns NULL when memory is exhausted.  */
request_queue_t *
request_queue_create (TALLOC_CTX *parent)
{
  request_queue_t *queue = talloc_zero (parent, request_queue_t);

  if (queue != NULL)
    LIST_INIT (&queue->classes);
  return queue;
}

/* Free QUEUE, which must be empty.  */
void
request_queue_destroy (request_queue_t *queue)
{
  talloc_free (queue);
}

static bool
class_is_of (const request_class_t *class, const char *service)
{
  return strcmp (class->service, service) == 0;
}

static request_class_t *
class_create (request_queue_t *queue, const char *service, unsigned urgency)
{
  request_class_t *class = talloc_zero (queue, request_class_t);

  if (class == NULL)
    return NULL;
  class->service = talloc_strdup (class, service);
  if (class->service == NULL)
    {
      talloc_free (class);
      return NULL;
    }
  class->urgency = urgency;
  TAILQ_INIT (&class->requests);
  return class;
}

static request_class_t *
queue_find_or_add_class (request_queue_t *queue, const char *service,
                         unsigned urgency)
{
  request_class_t *class;
  request_class_t *last_before = NULL;
  request_class_t *created;

  LIST_FOREACH (class, &queue->classes, link)
    {
      if (!class_is_of (class, service))
        continue;
      if (class->urgency == urgency)
        return class;
      if (class->urgency > urgency)
        break;
      last_before = class;
    }
  created = class_create (queue, service, urgency);
  if (created == NULL)
    return NULL;
  if (class != NULL)
    LIST_INSERT_BEFORE (class, created, link);
  else if (last_before != NULL)
    LIST_INSERT_AFTER (last_before, created, link);
  else
    LIST_INSERT_HEAD (&queue->classes, created, link);
  return created;
}

static bool
request_is_late (const queued_request_t *request, struct timespec now)
{
  return timespec_compare (request->late_from, now) <= 0;
}

/* Queue REQUEST behind the others of its class.  Returns false when memory is
   exhausted.  */
bool
request_queue_add (request_queue_t *queue, queued_request_t *request,
                   struct timespec now)
{
  request_class_t *class = queue_find_or_add_class (queue, request->service,
                                                    request->urgency);

  if (class == NULL)
    return false;
  if (class->count++ == 0)
    class->waiting_since = now;
  request->class = class;
  TAILQ_INSERT_TAIL (&class->requests, request, link);
  return true;
}

/* Remove REQUEST if it is queued.  */
void
request_queue_remove (queued_request_t *request)
{
  request_class_t *class = request->class;

  if (class == NULL)
    return;
  TAILQ_REMOVE (&class->requests, request, link);
  request->class = NULL;
  if (--class->count == 0)
    class->passed_over = 0;
}

/* Return a queued request that has to be given up, or NULL.  */
queued_request_t *
request_queue_find_expired (const request_queue_t *queue, struct timespec now)
{
  const request_class_t *class;
  queued_request_t *request;

  LIST_FOREACH (class, &queue->classes, link)
    {
      TAILQ_FOREACH (request, &class->requests, link)
        {
          if (timespec_compare (request->give_up_at, now) <= 0)
            return request;
        }
    }
  return NULL;
}

/* Return whether no request is queued.  */
bool
request_queue_is_empty (const request_queue_t *queue)
{
  const request_class_t *class;

  LIST_FOREACH (class, &queue->classes, link)
    {
      if (class->count > 0)
        return false;
    }
  return true;
}

/* Return whether a request for SERVICE that is more urgent than URGENCY is
   queued.  */
bool
request_queue_has_more_urgent (const request_queue_t *queue,
                               const char *service, unsigned urgency)
{
  const request_class_t *class;

  LIST_FOREACH (class, &queue->classes, link)
    {
      if (class->urgency < urgency && class_is_of (class, service)
          && class->count > 0)
        return true;
    }
  return false;
}

/* Count a request for SERVICE of URGENCY that was sent: it has passed over
   the less urgent ones that are queued.  */
void
request_queue_count_sent (request_queue_t *queue, const char *service,
                          unsigned urgency, struct timespec now)
{
  request_class_t *class;

  LIST_FOREACH (class, &queue->classes, link)
    {
      if (!class_is_of (class, service))
        continue;
      if (class->urgency > urgency && class->count > 0)
        class->passed_over++;
      if (class->urgency == urgency)
        event_rate_count (&class->sendings, now);
    }
}

/* Return the class of SERVICE and URGENCY, or NULL.  */
static const request_class_t *
queue_find_class (const request_queue_t *queue, const char *service,
                  unsigned urgency)
{
  const request_class_t *class;

  LIST_FOREACH (class, &queue->classes, link)
    {
      if (class->urgency == urgency && class_is_of (class, service))
        break;
    }
  return class;
}

/* Return the time that a request for SERVICE of URGENCY is expected to wait,
   or zero if that is not known.  */
struct timespec
request_queue_expected_wait (const request_queue_t *queue, const char *service,
                             unsigned urgency, struct timespec now)
{
  const request_class_t *class = queue_find_class (queue, service, urgency);
  double wait_ms;

  if (class == NULL || class->count == 0
      || timespec_to_ms (timespec_subtract (now, class->waiting_since))
             < EVENT_RATE_WINDOW_MS)
    return (struct timespec){ 0, 0 };
  wait_ms = class->count * ms_per_s
            / fmax (event_rate_at (&class->sendings, now), 1e-9);
  return timespec_from_ms ((int64_t)fmin (wait_ms, MAX_EXPECTED_WAIT_MS));
}

static unsigned
class_count_on_time (const request_class_t *class, struct timespec now)
{
  const queued_request_t *request;
  unsigned count = 0;

  TAILQ_FOREACH (request, &class->requests, link)
    {
      if (!request_is_late (request, now))
        count++;
    }
  return count;
}

/* Return how many queued requests for SERVICE of OTHER_URGENCY are tried
   before a new one of URGENCY.  */
unsigned
request_queue_count_before (const request_queue_t *queue, const char *service,
                            unsigned other_urgency, unsigned urgency,
                            bool is_late, struct timespec now)
{
  const request_class_t *class = queue_find_class (queue, service,
                                                   other_urgency);

  if (class == NULL || other_urgency > urgency)
    return 0;
  return other_urgency < urgency || is_late ? class->count
                                            : class_count_on_time (class, now);
}

/* Try REQUEST of CLASS, and count it if it was sent.  */
static queue_result_t
class_try (request_queue_t *queue, request_class_t *class,
           queued_request_t *request, const queue_turn_t *turn,
           struct timespec now, queue_try_t try, void *data)
{
  queue_result_t result = try (request, turn, data);

  if (result != QUEUE_SENT)
    return result;
  class->passed_over = 0;
  request_queue_count_sent (queue, class->service, class->urgency, now);
  return result;
}

/* Try the requests of CLASS whose lateness is that of TURN, in order of
   arrival, until there is no capacity for one of them.  */
static void
class_retry (request_queue_t *queue, request_class_t *class,
             const queue_turn_t *turn, struct timespec now, queue_try_t try,
             void *data)
{
  queued_request_t *request = TAILQ_FIRST (&class->requests);

  while (request != NULL)
    {
      queued_request_t *next = TAILQ_NEXT (request, link);

      if (request_is_late (request, now) == turn->is_late
          && class_try (queue, class, request, turn, now, try, data)
                 == QUEUE_FULL)
        return;
      request = next;
    }
}

/* Return the request of CLASS that is to be tried first, or NULL.  */
static queued_request_t *
class_first (const request_class_t *class, struct timespec now)
{
  queued_request_t *request;

  TAILQ_FOREACH (request, &class->requests, link)
    {
      if (!request_is_late (request, now))
        return request;
    }
  return TAILQ_FIRST (&class->requests);
}

/* Try the first request of each class that has been passed over too often.  */
static void
queue_retry_guaranteed (request_queue_t *queue, struct timespec now,
                        queue_try_t try, void *data)
{
  request_class_t *class;

  LIST_FOREACH (class, &queue->classes, link)
    {
      queued_request_t *request = class_first (class, now);
      queue_turn_t turn = { .is_guaranteed = true };

      if (request == NULL || class->passed_over + 1 < GUARANTEED_TURN)
        continue;
      turn.is_late = request_is_late (request, now);
      class_try (queue, class, request, &turn, now, try, data);
    }
}

/* Try all queued requests again with TRY: the more urgent first, of these
   those that can still meet their objective before late ones, then in order of
   arrival.  A request that stays queued keeps its place.  */
void
request_queue_retry (request_queue_t *queue, struct timespec now,
                     queue_try_t try, void *data)
{
  static const queue_turn_t on_time = { .is_late = false };
  static const queue_turn_t late = { .is_late = true };
  request_class_t *class;

  queue_retry_guaranteed (queue, now, try, data);
  LIST_FOREACH (class, &queue->classes, link)
    {
      class_retry (queue, class, &on_time, now, try, data);
      class_retry (queue, class, &late, now, try, data);
    }
}
