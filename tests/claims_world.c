#include "claims_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static unsigned
world_random (world_t *world, unsigned below)
{
  world->random = world->random * 6364136223846793005u + 1442695040888963407u;
  return (unsigned)(world->random >> 33) % below;
}

static bool
world_chance (world_t *world, unsigned percent)
{
  return !world->is_calm && world_random (world, 100) < percent;
}

static struct timespec
world_now (const world_t *world)
{
  return timespec_from_ms (world->now_ms);
}

static void
owner_start (owner_t *owner)
{
  world_t *world = owner->world;
  claims_options_t options
      = { .owner = "agent",
          .incarnation = ++world->incarnation,
          .limits = { timespec_from_ms (86400000), timespec_from_ms (10) },
          .max_batch_steps = 4,
          .max_batches_in_flight = owner->index + 1 };

  owner->claims = claims_create (world, &options);
  owner->lease_at_ms = -1;
}

/* Kill OWNER with all its memory and start it anew.  */
void
owner_crash (owner_t *owner)
{
  message_t *message;
  ask_t *ask;
  ask_t *next;

  LIST_FOREACH (message, &owner->world->messages, link)
    {
      if (message->owner != owner)
        continue;
      message->owner = NULL;
      talloc_free (message->batch);
    }
  for (ask = LIST_FIRST (&owner->world->asks); ask != NULL; ask = next)
    {
      next = LIST_NEXT (ask, link);
      if (ask->owner != owner)
        continue;
      LIST_REMOVE (ask, link);
      talloc_free (ask);
    }
  claims_destroy (owner->claims);
  owner_start (owner);
}

static void
ask_end (ask_t *ask)
{
  LIST_REMOVE (ask, link);
  talloc_free (ask);
}

static void
ask_note_run (ask_t *ask)
{
  world_t *world = ask->world;

  world->runs[ask->key]++;
  world->ran_body[ask->key] = (int)ask->body;
  ask->is_running = true;
  if (world->runs[ask->key] > 1)
    fail_msg ("seed %u: key %u ran twice", world->seed, ask->key);
}

static void
ask_on_verdict (claim_verdict_t verdict, const claim_record_t *record,
                void *data)
{
  ask_t *ask = data;
  world_t *world = ask->world;
  char expected[16];

  world->verdicts[verdict]++;
  if (verdict == CLAIM_GRANTED)
    {
      ask->ends_ms = world->now_ms + world_random (world, 300);
      if (world_chance (world, 15))
        ask->ends_ms += LATE_MS;
      return;
    }
  if (verdict == CLAIM_FINISHED)
    {
      snprintf (expected, sizeof expected, "body %u", ask->body);
      assert_int_equal (world->ran_body[ask->key], (int)ask->body);
      assert_string_equal (record->body, expected);
    }
  if (verdict == CLAIM_KEY_REUSED && world->runs[ask->key] > 0
      && world->ran_body[ask->key] == (int)ask->body)
    fail_msg ("seed %u: own request taken for another", world->seed);
  ask_end (ask);
}

/* A caller asks OWNER to run request BODY under KEY and waits for
   PATIENCE_MS.  */
void
ask_start (owner_t *owner, unsigned key, unsigned body, int64_t patience_ms)
{
  world_t *world = owner->world;
  ask_t *ask = talloc_zero (world, ask_t);
  char name[16];
  claim_request_t request
      = { .key = name,
          .account = "salon desk",
          .service = "booking",
          .fingerprint = body,
          .deadline = timespec_from_ms (world->now_ms + patience_ms) };

  snprintf (name, sizeof name, "key/%u", key);
  ask->world = world;
  ask->owner = owner;
  ask->key = key;
  ask->body = body;
  LIST_INSERT_HEAD (&world->asks, ask, link);
  ask->claim = claims_submit (owner->claims, &request, ask_on_verdict, ask,
                              world_now (world), world_now (world));
}

/* The holder of a claim goes on: it starts to run, ends, or gives up.  */
static void
ask_advance (ask_t *ask)
{
  world_t *world = ask->world;
  claim_record_t record = { .http_status = 201, .content_type = "text/plain" };
  char body[16];

  if (!ask->claim->is_delivered || ask->claim->verdict != CLAIM_GRANTED
      || world->now_ms < ask->ends_ms)
    return;
  if (!ask->is_running)
    {
      if (world_chance (world, 20))
        {
          claims_finish (ask->claim, NULL, world_now (world));
          ask_end (ask);
          return;
        }
      ask_note_run (ask);
      ask->ends_ms = world->now_ms + world_random (world, 200);
      return;
    }
  snprintf (body, sizeof body, "body %u", ask->body);
  record.body = body;
  record.body_size = strlen (body);
  if (world_chance (world, 20))
    claims_abandon (ask->claim, world_now (world));
  else
    claims_finish (ask->claim, &record, world_now (world));
  ask_end (ask);
}

static void
message_send (owner_t *owner, claim_batch_t *batch)
{
  world_t *world = owner->world;
  message_t *message = talloc_zero (world, message_t);

  message->owner = owner;
  message->batch = batch;
  message->txn = talloc_steal (message, batch->txn);
  message->arrives_ms = world->now_ms + 1 + world_random (world, 20);
  if (world_chance (world, 10))
    message->arrives_ms += LATE_MS;
  message->answers_ms = message->arrives_ms + 1 + world_random (world, 20);
  if (world_chance (world, 15))
    message->answers_ms = -1;
  message->gives_up_ms = world->now_ms + CALL_TIMEOUT_MS;
  LIST_INSERT_HEAD (&world->messages, message, link);
}

static void
message_end (message_t *message, status_t status)
{
  owner_t *owner = message->owner;

  message->owner = NULL;
  if (owner != NULL)
    claims_note_batch (owner->claims, message->batch, status, message->result,
                       world_now (owner->world));
}

static bool
owner_is_paused (const owner_t *owner)
{
  return owner->world->now_ms < owner->paused_until_ms;
}

static void
message_advance (world_t *world, message_t *message)
{
  if (!message->is_applied && world->now_ms >= message->arrives_ms)
    {
      message->is_applied = true;
      message->result = fake_store_apply (world->store, message, message->txn);
    }
  if (message->owner != NULL && owner_is_paused (message->owner))
    return;
  if (message->is_applied && message->answers_ms >= 0
      && world->now_ms >= message->answers_ms
      && message->answers_ms <= message->gives_up_ms)
    message_end (message, STATUS_OK);
  else if (world->now_ms >= message->gives_up_ms)
    message_end (message, STATUS_TIMEOUT);
  if (message->owner != NULL || !message->is_applied)
    return;
  LIST_REMOVE (message, link);
  talloc_free (message);
}

static void
owner_deliver (owner_t *owner)
{
  journal_claim_list_t decided = STAILQ_HEAD_INITIALIZER (decided);
  journal_claim_t *claim;

  claims_collect_decided (owner->claims, &decided);
  while ((claim = STAILQ_FIRST (&decided)) != NULL)
    {
      bool is_granted = claim->verdict == CLAIM_GRANTED;

      STAILQ_REMOVE_HEAD (&decided, decided_link);
      claim->is_delivered = true;
      claim->done (claim->verdict,
                   claim->value == NULL ? NULL : &claim->value->record,
                   claim->data);
      if (!is_granted)
        claims_free_claim (claim);
    }
}

static void
owner_advance (owner_t *owner)
{
  world_t *world = owner->world;
  struct timespec now = world_now (world);
  struct timespec duration;
  claim_batch_t *batch;

  claims_expire (owner->claims, now);
  if (claims_start_lease_request (owner->claims, now, &duration))
    owner->lease_at_ms = world->now_ms + world_random (world, 30);
  if (owner->lease_at_ms >= 0 && world->now_ms >= owner->lease_at_ms)
    {
      claims_note_lease (owner->claims, world_chance (world, 20) ? 0 : 1, now);
      owner->lease_at_ms = -1;
    }
  while ((batch = claims_next_batch (owner->claims, now)) != NULL)
    message_send (owner, batch);
  owner_deliver (owner);
}

/* Let one step of time pass.  */
void
world_advance (world_t *world)
{
  message_t *message;
  message_t *next_message;
  ask_t *ask;
  ask_t *next_ask;

  world->now_ms += STEP_MS;
  for (message = LIST_FIRST (&world->messages); message != NULL;
       message = next_message)
    {
      next_message = LIST_NEXT (message, link);
      message_advance (world, message);
    }
  for (ask = LIST_FIRST (&world->asks); ask != NULL; ask = next_ask)
    {
      next_ask = LIST_NEXT (ask, link);
      if (!owner_is_paused (ask->owner))
        ask_advance (ask);
    }
  for (unsigned i = 0; i < OWNERS; i++)
    {
      if (!owner_is_paused (&world->owners[i]))
        owner_advance (&world->owners[i]);
    }
}

/* Let something happen by chance: a caller, a pause or a crash.  */
void
world_disturb (world_t *world)
{
  owner_t *owner = &world->owners[world_random (world, OWNERS)];

  if (owner_is_paused (owner))
    return;
  if (world_chance (world, 10))
    ask_start (owner, world_random (world, KEYS),
               world_random (world, 10) / 9 % BODIES,
               10 + world_random (world, 2000));
  if (world_chance (world, 1))
    owner->paused_until_ms = world->now_ms + world_random (world, 5000);
  else if (world_random (world, 500) == 0)
    owner_crash (owner);
}

/* Create a world whose chances are drawn from SEED.  */
world_t *
world_create (unsigned seed)
{
  world_t *world = talloc_zero (NULL, world_t);

  world->seed = seed;
  world->random = seed * 2654435761u + 1;
  world->store = fake_store_create (world);
  LIST_INIT (&world->messages);
  LIST_INIT (&world->asks);
  for (unsigned i = 0; i < OWNERS; i++)
    {
      world->owners[i].world = world;
      world->owners[i].index = i;
      owner_start (&world->owners[i]);
    }
  return world;
}

/* Free WORLD.  */
void
world_destroy (world_t *world)
{
  for (unsigned i = 0; i < OWNERS; i++)
    claims_destroy (world->owners[i].claims);
  talloc_free (world);
}

/* Let everything come to rest with the store in order, and check that it
   does.  */
void
world_settle (world_t *world)
{
  world->is_calm = true;
  for (int64_t end = world->now_ms + CALM_MS; world->now_ms < end;)
    world_advance (world);
  assert_true (LIST_EMPTY (&world->asks));
  for (unsigned i = 0; i < OWNERS; i++)
    assert_int_equal (claims_pending (world->owners[i].claims), 0);
}

/* Let DURATION_MS pass.  */
void
world_run_ms (world_t *world, int64_t duration_ms)
{
  for (int64_t end = world->now_ms + duration_ms; world->now_ms < end;)
    world_advance (world);
}
