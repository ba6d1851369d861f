#include "common/node.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/lock.h"
#include "kernel/log.h"
#include "kernel/random.h"
#include "kernel/table.h"

#include <string.h>

/* confirmed_age_ms while the current revision has not been confirmed.  */
#define UNCONFIRMED_AGE_MS ((uint64_t)INT32_MAX)

enum
{
  FETCH_TIMEOUT_MS = 1000, /* settings can then be requested from another
                              peer */
  /* After a longer time between two calls of node_detect_pause, the process is
     considered to have been suspended.  */
  MAX_TICK_GAP_MS = 1000,
  /* Time after a start or suspension in which the links reconnect and peers
     report their settings revisions.  */
  SETTLE_TIME_MS = 3000
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
  settings_t *settings; /* NULL until the first revision is received */
  bool is_deferring;    /* received settings are not applied yet */
  node_subscription_t *deferral; /* runs when settings are received while
                                    IS_DEFERRING */
  bool is_confirmed;             /* CONFIRMED_AT is set */
  struct timespec confirmed_at;  /* when SETTINGS was last known to be the
                                    newest in the store */
  struct timespec ticked_at;     /* last call of node_detect_pause */
  struct timespec running_since; /* start, or end of the last suspension */
  uint64_t fetch_revision; /* last revision requested from a peer, or 0 */
  struct timespec fetch_started_at;
  STAILQ_HEAD (, node_subscription) subscriptions;
};

static int
node_free (node_t *node)
{
  if (node->settings != NULL)
    settings_release (node->settings);
  return 0;
}

/* Create the identity of this process.  The incarnation is a random number, so
   that no two runs share one.  */
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

/* Free NODE and release its settings.  */
void
node_destroy (node_t *node)
{
  talloc_free (node);
}

/* Return the process's name in its configuration.  The inventory lists entries
   and agents by this name.  */
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

/* Return the random number that identifies this run of the process.  */
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

/* Connect to peers by TRANSPORT instead of TCP.  Call before the first
   connection.  */
void
node_set_transport (node_t *node, transport_t *transport)
{
  node->transport = transport;
}

/* Return the transport for connections to peers.  */
transport_t *
node_transport (const node_t *node)
{
  return node->transport;
}

/* Return the current settings with a reference that the caller releases with
   settings_release, or NULL while there are none or they are deferred.  */
settings_t *
node_settings (node_t *node)
{
  settings_t *settings;

  lock_acquire (node->lock);
  settings = node->is_deferring ? NULL : node->settings;
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

static void
subscription_post (node_subscription_t *subscription)
{
  if (!atomic_exchange (&subscription->is_posted, true))
    worker_post (subscription->worker, &subscription->task);
}

/* Run SUBSCRIPTION's handler each time new settings are applied, and once now
   if there are current settings already.  The caller sets worker, handler and
   data.  */
void
node_subscribe (node_t *node, node_subscription_t *subscription)
{
  subscription->task.run = subscription_run;
  atomic_init (&subscription->is_posted, false);
  lock_acquire (node->lock);
  STAILQ_INSERT_TAIL (&node->subscriptions, subscription, link);
  if (node->settings != NULL && !node->is_deferring)
    subscription_post (subscription);
  lock_release (node->lock);
}

static void
node_notify_locked (node_t *node)
{
  node_subscription_t *subscription;

  if (node->is_deferring)
    {
      subscription_post (node->deferral);
      return;
    }
  STAILQ_FOREACH (subscription, &node->subscriptions, link)
    subscription_post (subscription);
}

/* Unless there are settings already, keep those received from now on without
   applying them until node_apply_deferred_settings.  Deferred settings are not
   reported to peers.  RECEIVED's handler runs each time newer ones were
   received meanwhile; the caller sets worker, handler and data.  */
void
node_defer_settings (node_t *node, node_subscription_t *received)
{
  received->task.run = subscription_run;
  atomic_init (&received->is_posted, false);
  lock_acquire (node->lock);
  node->is_deferring = node->settings == NULL;
  node->deferral = received;
  lock_release (node->lock);
}

/* Apply the newest settings received since node_defer_settings.  */
void
node_apply_deferred_settings (node_t *node)
{
  lock_acquire (node->lock);
  if (node->is_deferring)
    {
      node->is_deferring = false;
      if (node->settings != NULL)
        node_notify_locked (node);
    }
  lock_release (node->lock);
}

/* Return the revision of the newest settings received, applied or deferred; 0
   for none.  */
uint64_t
node_settings_revision (node_t *node)
{
  uint64_t revision;

  lock_acquire (node->lock);
  revision = node->settings == NULL ? 0 : node->settings->revision;
  lock_release (node->lock);
  return revision;
}

/* Return whether there are settings, but a peer has reported a newer revision,
   which was requested and has not been received yet.  */
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

/* Return whether the caller should request REVISION from its peer: it is newer
   than the newest received here, and no other peer has been asked within the
   fetch timeout.  */
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
  is_asked
      = node->fetch_revision >= revision
        && timespec_to_ms (timespec_subtract (now, node->fetch_started_at))
               < FETCH_TIMEOUT_MS;
  if (!is_known && !is_asked)
    {
      node->fetch_revision = revision;
      node->fetch_started_at = now;
    }
  lock_release (node->lock);
  return !is_known && !is_asked;
}

/* Handle the loss of the peer that was asked for REVISION: another peer can be
   asked without waiting for the timeout.  */
void
node_cancel_settings_fetch (node_t *node, uint64_t revision)
{
  lock_acquire (node->lock);
  if (node->fetch_revision == revision)
    node->fetch_revision = 0;
  lock_release (node->lock);
}

/* Adopt the settings in DOCUMENT if their revision is higher than the newest
   received so far.  An older or equal revision is ignored and no error.
   Returns STATUS_INVALID when the document is invalid.  */
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

/* Record that REVISION was seen to be the newest in the store AGE_MS ago, by
   this process or a peer.  Ignored unless it is the newest one received here.
 */
void
node_confirm_settings (node_t *node, uint64_t revision, uint64_t age_ms)
{
  struct timespec confirmed_at;

  if (age_ms >= UNCONFIRMED_AGE_MS)
    return;
  confirmed_at = timespec_subtract (clock_monotonic (node->clock),
                                    timespec_from_ms ((int64_t)age_ms));
  lock_acquire (node->lock);
  if (node->settings != NULL && node->settings->revision == revision
      && (!node->is_confirmed
          || timespec_compare (confirmed_at, node->confirmed_at) > 0))
    {
      node->is_confirmed = true;
      node->confirmed_at = confirmed_at;
    }
  lock_release (node->lock);
}

static uint64_t
node_confirmed_age_locked (const node_t *node)
{
  int64_t age;

  if (!node->is_confirmed)
    return UNCONFIRMED_AGE_MS;
  age = timespec_to_ms (
      timespec_subtract (clock_monotonic (node->clock), node->confirmed_at));
  return age < 0 ? 0 : (uint64_t)age;
}

/* Return the milliseconds since the settings were last confirmed to be the
   newest in the store; INT32_MAX if they never were.  */
uint64_t
node_confirmed_age_ms (node_t *node)
{
  uint64_t age;

  lock_acquire (node->lock);
  age = node_confirmed_age_locked (node);
  lock_release (node->lock);
  return age;
}

/* Detect by the time since the last call whether this process, or its VM, was
   suspended.  Must be called several times a second.  */
void
node_detect_pause (node_t *node)
{
  struct timespec now = clock_monotonic (node->clock);

  lock_acquire (node->lock);
  if (timespec_to_ms (timespec_subtract (now, node->ticked_at))
      > MAX_TICK_GAP_MS)
    node->running_since = now;
  node->ticked_at = now;
  lock_release (node->lock);
}

/* Return whether this process has run long enough since its start or its last
   suspension to have received the current settings revisions of its peers.  */
static bool
node_is_settled_locked (const node_t *node)
{
  struct timespec now = clock_monotonic (node->clock);

  return timespec_to_ms (timespec_subtract (now, node->ticked_at))
             <= MAX_TICK_GAP_MS
         && timespec_to_ms (timespec_subtract (now, node->running_since))
                >= SETTLE_TIME_MS;
}

/* Set the members of HEADER that describe this process in every frame.  */
void
node_fill_header (node_t *node, frame_header_t *header)
{
  lock_acquire (node->lock);
  header->incarnation = node->incarnation;
  header->settings_revision = node->settings == NULL || node->is_deferring
                                  ? 0
                                  : node->settings->revision;
  header->confirmed_age_ms = node_confirmed_age_locked (node);
  header->is_settled = node_is_settled_locked (node) ? 1 : 0;
  lock_release (node->lock);
}

/* Set FRAME to the hello frame that opens every connection.  */
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
