#include "common/node.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/lock.h"
#include "kernel/log.h"
#include "kernel/random.h"
#include "kernel/table.h"

#include <string.h>

/* Reported while no revision has been confirmed at all.  */
#define AGE_UNCONFIRMED_MS ((uint64_t)INT32_MAX)

enum
{
  FETCH_TIMEOUT_MS = 1000, /* then another peer may be asked */
  PAUSE_GAP_MS = 1000,     /* between two ticks of a process that runs */
  SETTLE_MS = 3000         /* to connect again and hear what is new */
};

GAUGE_DEFINE (settings_revision, "siskin_settings_revision",
              "Revision of the settings in force");
COUNTER_DEFINE (settings_adopted, "siskin_settings_adopted_total",
                "Settings revisions put in force");

struct node
{
  node_role_t role;
  char *name;
  char *zone;
  uint64_t incarnation;
  const clock_source_t *clock;
  transport_t *transport;
  lock_t *lock;
  settings_t *settings; /* NULL until the first revision is known */
  bool is_held;         /* settings are collected, but not in force yet */
  bool is_confirmed;
  struct timespec confirmed_at;
  struct timespec ticked_at;
  struct timespec settled_at; /* it has run without a pause since then */
  uint64_t fetch_revision;    /* asked for last, of one peer */
  struct timespec fetch_at;
  STAILQ_HEAD (, node_subscription) subscriptions;
};

static int
node_free (node_t *node)
{
  if (node->settings != NULL)
    settings_release (node->settings);
  return 0;
}

/* Create the identity of this process.  The incarnation is drawn at random,
   so that no two runs share one.  */
node_t *
node_create (TALLOC_CTX *parent, node_role_t role, const char *name,
             const char *zone, const clock_source_t *clock)
{
  node_t *node = talloc_zero (parent, node_t);

  if (node == NULL)
    return NULL;
  node->role = role;
  node->name = talloc_strdup (node, name);
  node->zone = talloc_strdup (node, zone);
  node->clock = clock;
  node->transport = transport_tcp ();
  node->lock = lock_create (node, LOCK_SETTINGS, "settings");
  STAILQ_INIT (&node->subscriptions);
  node->incarnation = random_next ();
  talloc_set_destructor (node, node_free);
  return node;
}

/* Free NODE and drop its settings.  */
void
node_destroy (node_t *node)
{
  talloc_free (node);
}

/* Return the process's name in the inventory.  */
const char *
node_name (const node_t *node)
{
  return node->name;
}

/* Return the availability zone the process runs in.  */
const char *
node_zone (const node_t *node)
{
  return node->zone;
}

/* Return the number that tells this run from all others.  */
uint64_t
node_incarnation (const node_t *node)
{
  return node->incarnation;
}

/* Return the clock given to node_create.  */
const clock_source_t *
node_clock (const node_t *node)
{
  return node->clock;
}

/* Have this process reach its peers by TRANSPORT in place of TCP.  Call before
   the first connection.  */
void
node_set_transport (node_t *node, transport_t *transport)
{
  node->transport = transport;
}

/* Return how this process reaches its peers.  */
transport_t *
node_transport (const node_t *node)
{
  return node->transport;
}

/* Return the settings in force with a reference that the caller gives back
   with settings_release, or NULL when none are in force yet.  */
settings_t *
node_settings (node_t *node)
{
  settings_t *settings;

  lock_acquire (node->lock);
  settings = node->is_held ? NULL : node->settings;
  if (settings != NULL)
    settings_retain (settings);
  lock_release (node->lock);
  return settings;
}

static void
subscription_run (task_t *task, worker_t *worker)
{
  node_subscription_t *subscription
      = CONTAINER_OF (task, node_subscription_t, task);

  atomic_store (&subscription->is_posted, false);
  subscription->handler (worker, subscription->data);
}

/* Have SUBSCRIPTION, of which worker, handler and data are set, run after each
   adoption.  Also runs once now if there are settings already.  */
void
node_subscribe (node_t *node, node_subscription_t *subscription)
{
  subscription->task.run = subscription_run;
  atomic_init (&subscription->is_posted, false);
  lock_acquire (node->lock);
  STAILQ_INSERT_TAIL (&node->subscriptions, subscription, link);
  if (node->settings != NULL && !node->is_held
      && !atomic_exchange (&subscription->is_posted, true))
    worker_post (subscription->worker, &subscription->task);
  lock_release (node->lock);
}

static void
node_notify_locked (node_t *node)
{
  node_subscription_t *subscription;

  if (node->is_held)
    return;
  STAILQ_FOREACH (subscription, &node->subscriptions, link)
    {
      if (!atomic_exchange (&subscription->is_posted, true))
        worker_post (subscription->worker, &subscription->task);
    }
}

/* Collect settings without putting any in force until
   node_apply_deferred_settings.  Peers are not shown the ones collected.  */
void
node_defer_settings (node_t *node)
{
  lock_acquire (node->lock);
  node->is_held = node->settings == NULL;
  lock_release (node->lock);
}

/* Put the newest settings collected since node_defer_settings in force.  */
void
node_apply_deferred_settings (node_t *node)
{
  lock_acquire (node->lock);
  if (node->is_held)
    {
      node->is_held = false;
      if (node->settings != NULL)
        node_notify_locked (node);
    }
  lock_release (node->lock);
}

/* Return the newest revision known here, in force or held; 0 for none.  */
uint64_t
node_settings_revision (node_t *node)
{
  uint64_t revision;

  lock_acquire (node->lock);
  revision = node->settings == NULL ? 0 : node->settings->revision;
  lock_release (node->lock);
  return revision;
}

/* Return whether a peer has shown a revision that is newer than the one known
   here and has not been received yet.  */
bool
node_has_outdated_settings (node_t *node)
{
  bool is_behind;

  lock_acquire (node->lock);
  is_behind = node->settings != NULL
              && node->fetch_revision > node->settings->revision;
  lock_release (node->lock);
  return is_behind;
}

/* Return whether the caller should ask its peer for REVISION: it is newer than
   what is known here, and no other peer has been asked within the fetch
   timeout.  */
bool
node_begin_settings_fetch (node_t *node, uint64_t revision)
{
  struct timespec now = clock_monotonic (node->clock);
  bool is_known;
  bool is_asked;

  if (revision == 0)
    return false;
  lock_acquire (node->lock);
  is_known = node->settings != NULL && node->settings->revision >= revision;
  is_asked = node->fetch_revision >= revision
             && timespec_to_ms (timespec_subtract (now, node->fetch_at))
                    < FETCH_TIMEOUT_MS;
  if (!is_known && !is_asked)
    {
      node->fetch_revision = revision;
      node->fetch_at = now;
    }
  lock_release (node->lock);
  return !is_known && !is_asked;
}

/* The peer asked for REVISION is gone; another may be asked at once.  */
void
node_cancel_settings_fetch (node_t *node, uint64_t revision)
{
  lock_acquire (node->lock);
  if (node->fetch_revision == revision)
    node->fetch_revision = 0;
  lock_release (node->lock);
}

/* Put the settings in DOCUMENT in force when their revision is higher than
   the present one; an older or equal document changes nothing and is no
   error.  Returns STATUS_INVALID when the document cannot be read.  */
status_t
node_adopt_settings (node_t *node, const char *document, size_t size)
{
  settings_t *settings;
  settings_t *previous = NULL;
  uint64_t old_revision = 0;
  status_t status = settings_from_document (document, size, &settings);

  if (status != STATUS_OK)
    return status;
  lock_acquire (node->lock);
  if (node->settings != NULL)
    old_revision = node->settings->revision;
  if (settings->revision > old_revision)
    {
      previous = node->settings;
      node->settings = settings;
      node->is_confirmed = false;
      node_notify_locked (node);
    }
  else
    previous = settings;
  INVARIANT (node->settings != NULL
                 && node->settings->revision >= old_revision,
             "settings-monotonic");
  lock_release (node->lock);
  if (previous != settings)
    {
      counter_set (&settings_revision, (int64_t)settings->revision);
      counter_add (&settings_adopted, 1);
      log_event (LOG_LEVEL_NOTICE, "settings-adopted",
                 "revision=%llu previous=%llu",
                 (unsigned long long)settings->revision,
                 (unsigned long long)old_revision);
    }
  if (previous != NULL)
    settings_release (previous);
  return STATUS_OK;
}

/* Note that AGE_MS ago somebody saw in the store that REVISION is the newest.
   Ignored unless REVISION is the one in force here.  */
void
node_confirm_settings (node_t *node, uint64_t revision, uint64_t age_ms)
{
  struct timespec seen;

  if (age_ms >= AGE_UNCONFIRMED_MS)
    return;
  seen = timespec_subtract (clock_monotonic (node->clock),
                            timespec_from_ms ((int64_t)age_ms));
  lock_acquire (node->lock);
  if (node->settings != NULL && node->settings->revision == revision
      && (!node->is_confirmed
          || timespec_compare (seen, node->confirmed_at) > 0))
    {
      node->is_confirmed = true;
      node->confirmed_at = seen;
    }
  lock_release (node->lock);
}

static uint64_t
node_age_locked (const node_t *node)
{
  int64_t age;

  if (!node->is_confirmed)
    return AGE_UNCONFIRMED_MS;
  age = timespec_to_ms (
      timespec_subtract (clock_monotonic (node->clock), node->confirmed_at));
  return age < 0 ? 0 : (uint64_t)age;
}

/* Return the milliseconds since the settings in force were last known to be
   the newest in the store.  */
uint64_t
node_confirmed_age_ms (node_t *node)
{
  uint64_t age;

  lock_acquire (node->lock);
  age = node_age_locked (node);
  lock_release (node->lock);
  return age;
}

/* Note that this process runs.  To be called several times a second; a gap
   shows that it was paused.  */
void
node_detect_pause (node_t *node)
{
  struct timespec now = clock_monotonic (node->clock);

  lock_acquire (node->lock);
  if (timespec_to_ms (timespec_subtract (now, node->ticked_at)) > PAUSE_GAP_MS)
    node->settled_at = now;
  node->ticked_at = now;
  lock_release (node->lock);
}

/* Return whether this process has run long enough since its start or its last
   pause to have heard what its peers know.  */
static bool
node_is_settled_locked (const node_t *node)
{
  struct timespec now = clock_monotonic (node->clock);

  return timespec_to_ms (timespec_subtract (now, node->ticked_at))
             <= PAUSE_GAP_MS
         && timespec_to_ms (timespec_subtract (now, node->settled_at))
                >= SETTLE_MS;
}

/* Set the members of HEADER that every frame carries.  */
void
node_fill_header (node_t *node, frame_header_t *header)
{
  lock_acquire (node->lock);
  header->incarnation = node->incarnation;
  header->settings_revision
      = node->settings == NULL || node->is_held ? 0 : node->settings->revision;
  header->confirmed_age_ms = node_age_locked (node);
  header->is_settled = node_is_settled_locked (node) ? 1 : 0;
  lock_release (node->lock);
}

/* Make FRAME the greeting that opens every connection.  */
void
node_fill_hello (const node_t *node, frame_t *frame)
{
  memset (frame, 0, sizeof *frame);
  frame->header.type = FRAME_HELLO;
  frame->body.hello.version = FRAME_PROTOCOL_VERSION;
  frame->body.hello.role = node->role;
  frame->body.hello.name = node->name;
  frame->body.hello.zone = node->zone;
}
