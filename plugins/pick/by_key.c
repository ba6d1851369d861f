#include "kernel/plugin.h"
#include "kernel/rendezvous.h"
#include "plugins/pick.h"

struct pick
{
  uint64_t next; /* position of the round robin for requests without a key */
};

static pick_t *
by_key_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  if (pick != NULL)
    pick->next = seed;
  return pick;
}

static void
by_key_destroy (pick_t *pick)
{
  talloc_free (pick);
}

/* Choose by rendezvous hashing of the idempotency key.  Every entry sends the
   same key to the same upstream, so that a retried request reaches the
   upstream that ran it first, and a change of the fleet moves only the keys of
   the upstreams that were added or removed.  */
static void
by_key_choose (pick_t *pick, const pick_request_t *request,
               const pick_candidate_t *const *candidates, size_t count,
               struct timespec now, pick_choice_t *choice)
{
  uint64_t best = 0;

  (void)now;
  if (request->key_hash == 0)
    {
      choice->index = (size_t)(pick->next++ % count);
      choice->reason = "no-key";
      return;
    }
  choice->index = 0;
  choice->reason = "key-hash";
  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight
          = rendezvous_weight (request->key_hash, candidates[i]->name_hash);

      if (weight >= best)
        {
          best = weight;
          choice->index = i;
        }
    }
}

static const pick_ops_t by_key_ops = {
  .create = by_key_create,
  .destroy = by_key_destroy,
  .choose = by_key_choose,
  .needs_all_upstreams = true,
};

PLUGIN_REGISTER (by_key, PLUGIN_PICK, "by-key",
                 "rendezvous hashing of the idempotency key", &by_key_ops);
