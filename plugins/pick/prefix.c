#include "kernel/counter.h"
#include "kernel/plugin.h"
#include "kernel/rendezvous.h"
#include "plugins/pick/load.h"
#include "plugins/pick/prefix_index.h"

enum
{
  INDEX_MAX_BLOCKS = 1 << 15 /* a power of two */
};

/* An upstream is chosen for its cache only up to this multiple of the average
   utilization plus this part of its limit.  The constant part keeps cache
   affinity in a lightly loaded fleet, where the ratio alone would allow almost
   no difference.  */
static const double max_load_ratio = 1.25;
static const double max_load_margin = 0.15;

COUNTER_DEFINE_LABELLED (chosen_holder, "siskin_pick_prefix_total",
                         "reason=\"cached\"", "Choices by prompt prefix");
COUNTER_DEFINE_LABELLED (chosen_home, "siskin_pick_prefix_total",
                         "reason=\"home\"", "Choices by prompt prefix");
COUNTER_DEFINE_LABELLED (chosen_least, "siskin_pick_prefix_total",
                         "reason=\"least-loaded\"",
                         "Choices by prompt prefix");

struct pick
{
  load_random_t random;
  prefix_index_t *index;
};

/* The state of one choice.  */
typedef struct prefix_search
{
  const pick_request_t *request;
  const pick_candidate_t *const *candidates;
  size_t count;
  struct timespec now;
  load_other_average_t others;
  double max_utilization;
} prefix_search_t;

static pick_t *
prefix_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  if (pick == NULL)
    return NULL;
  pick->random.state = seed;
  pick->index = prefix_index_create (pick, INDEX_MAX_BLOCKS);
  if (pick->index == NULL)
    TALLOC_FREE (pick);
  return pick;
}

static void
prefix_destroy (pick_t *pick)
{
  talloc_free (pick);
}

static load_t
search_load (const prefix_search_t *search, size_t index)
{
  return load_estimate (search->candidates[index], search->request,
                        &search->others, search->now);
}

/* Set the average load and the maximum utilization for cache affinity.  */
static void
search_init (prefix_search_t *search)
{
  double sum = 0;

  search->others = load_average_others (search->candidates, search->count);
  for (size_t i = 0; i < search->count; i++)
    sum += search_load (search, i).utilization;
  search->max_utilization
      = max_load_ratio * sum / (double)search->count + max_load_margin;
}

/* Return whether the candidate INDEX has room for the request and is below the
   maximum utilization for cache affinity.  */
static bool
search_can_accept (const prefix_search_t *search, size_t index)
{
  load_t load = search_load (search, index);

  return load.tier == LOAD_HAS_ROOM
         && load.utilization <= search->max_utilization;
}

static bool
holders_contain (const prefix_holders_t *holders, uint64_t name)
{
  for (size_t i = 0; i < holders->count; i++)
    {
      if (holders->names[i] == name)
        return true;
    }
  return false;
}

/* Set *INDEX to the least loaded of HOLDERS that can accept the request.
   Returns false if there is none.  */
static bool
search_holder (const prefix_search_t *search, const prefix_holders_t *holders,
               size_t *index)
{
  load_t best = { 0 };
  bool is_found = false;

  for (size_t i = 0; i < search->count; i++)
    {
      load_t load;

      if (!holders_contain (holders, search->candidates[i]->name_hash)
          || !search_can_accept (search, i))
        continue;
      load = search_load (search, i);
      if (is_found && !load_is_better (&load, &best))
        continue;
      best = load;
      *index = i;
      is_found = true;
    }
  return is_found;
}

/* Set *INDEX to the home of BLOCK, which rendezvous hashing selects among the
   candidates that can accept the request, so that all entries choose the same
   one without communication.  Returns false if there is none.  */
static bool
search_home (const prefix_search_t *search, uint64_t block, size_t *index)
{
  uint64_t best = 0;
  bool is_found = false;

  for (size_t i = 0; i < search->count; i++)
    {
      uint64_t weight
          = rendezvous_weight (block, search->candidates[i]->name_hash);

      if (weight < best || !search_can_accept (search, i))
        continue;
      best = weight;
      *index = i;
      is_found = true;
    }
  return is_found;
}

/* Choose a holder of the longest cached prefix, else the home of a block.  A
   block that many upstreams hold, such as a system prompt, doesn't identify
   the conversation; the home is then that of the first block after it.  */
static bool
search_cached (const pick_t *pick, const prefix_search_t *search,
               pick_choice_t *choice)
{
  const pick_request_t *request = search->request;
  size_t depth = request->prefix_block_count;

  while (depth > 0)
    {
      const prefix_holders_t *holders
          = prefix_index_find (pick->index, request->prefix_blocks[depth - 1]);

      if (holders != NULL && holders->is_common)
        break;
      if (holders != NULL && search_holder (search, holders, &choice->index))
        {
          choice->reason = "cached";
          counter_add (&chosen_holder, 1);
          return true;
        }
      depth--;
    }
  if (depth == request->prefix_block_count)
    depth--;
  if (!search_home (search, request->prefix_blocks[depth], &choice->index))
    return false;
  choice->reason = "home";
  counter_add (&chosen_home, 1);
  return true;
}

/* Choose by the prefix if possible, else the least loaded candidate.  */
static void
prefix_choose (pick_t *pick, const pick_request_t *request,
               const pick_candidate_t *const *candidates, size_t count,
               struct timespec now, pick_choice_t *choice)
{
  prefix_search_t search = {
    .request = request, .candidates = candidates, .count = count, .now = now
  };

  if (request->prefix_block_count > 0)
    {
      search_init (&search);
      if (search_cached (pick, &search, choice))
        return;
    }
  choice->index
      = load_pick_least (&pick->random, request, candidates, count, now);
  choice->reason = "least-loaded";
  counter_add (&chosen_least, 1);
}

static void
prefix_record_blocks (pick_t *pick, uint64_t name_hash, const uint64_t *blocks,
                      size_t count, bool is_stored)
{
  for (size_t i = 0; i < count; i++)
    {
      if (is_stored)
        prefix_index_add (pick->index, blocks[i], name_hash);
      else
        prefix_index_remove (pick->index, blocks[i], name_hash);
    }
}

static void
prefix_record_restart (pick_t *pick, uint64_t name_hash)
{
  prefix_index_remove_upstream (pick->index, name_hash);
}

static const pick_ops_t prefix_ops = {
  .create = prefix_create,
  .destroy = prefix_destroy,
  .choose = prefix_choose,
  .record_blocks = prefix_record_blocks,
  .record_restart = prefix_record_restart,
};

PLUGIN_REGISTER (prefix, PLUGIN_PICK, "prefix",
                 "upstream that caches the prompt prefix, unless overloaded",
                 &prefix_ops);
