#include "kernel/counter.h"
#include "kernel/plugin.h"
#include "kernel/rendezvous.h"
#include "plugins/pick/load.h"
#include "plugins/pick/prefix_index.h"

enum
{
  INDEX_BLOCKS = 1 << 15
};

/* An upstream may carry this much more than the average one for the sake of
   its cache, and a part of its limit besides, so that a lightly loaded fleet
   is not scattered.  */
static const double hot_ratio = 1.25;
static const double hot_slack = 0.15;

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

/* One choice under way.  */
typedef struct prefix_search
{
  const pick_request_t *work;
  const pick_candidate_t *const *candidates;
  size_t count;
  struct timespec now;
  load_other_entries_t others;
  double hot_share;
} prefix_search_t;

static pick_t *
prefix_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  if (pick == NULL)
    return NULL;
  pick->random.state = seed;
  pick->index = prefix_index_create (pick, INDEX_BLOCKS);
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
  return load_estimate (search->candidates[index], search->work,
                        &search->others, search->now);
}

static void
search_begin (prefix_search_t *search)
{
  double sum = 0;

  search->others = load_other_entries (search->candidates, search->count);
  for (size_t i = 0; i < search->count; i++)
    sum += search_load (search, i).share;
  search->hot_share = hot_ratio * sum / (double)search->count + hot_slack;
}

static bool
search_may_take (const prefix_search_t *search, size_t index)
{
  load_t load = search_load (search, index);

  return load.rank == LOAD_HAS_ROOM && load.share <= search->hot_share;
}

static bool
holders_have (const prefix_holders_t *holders, uint64_t name)
{
  for (size_t i = 0; i < holders->count; i++)
    {
      if (holders->names[i] == name)
        return true;
    }
  return false;
}

/* Set *INDEX to the least loaded of HOLDERS that may take the request.  */
static bool
search_holder (const prefix_search_t *search, const prefix_holders_t *holders,
               size_t *index)
{
  load_t best = { 0 };
  bool is_found = false;

  for (size_t i = 0; i < search->count; i++)
    {
      load_t load;

      if (!holders_have (holders, search->candidates[i]->name_hash)
          || !search_may_take (search, i))
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

/* Set *INDEX to the home of BLOCK: the place on which all entries agree
   without a word, by rendezvous hashing among those that may take the
   request.  */
static bool
search_home (const prefix_search_t *search, uint64_t block, size_t *index)
{
  uint64_t best = 0;
  bool is_found = false;

  for (size_t i = 0; i < search->count; i++)
    {
      uint64_t weight
          = rendezvous_weight (block, search->candidates[i]->name_hash);

      if (weight < best || !search_may_take (search, i))
        continue;
      best = weight;
      *index = i;
      is_found = true;
    }
  return is_found;
}

/* Look for the deepest block that somebody holds.  What many hold, such as a
   system prompt, says nothing about this conversation: then the first block
   beyond it decides.  */
static bool
search_cached (const pick_t *pick, const prefix_search_t *search,
               pick_choice_t *choice)
{
  const pick_request_t *work = search->work;
  size_t depth = work->prefix_block_count;

  while (depth > 0)
    {
      const prefix_holders_t *holders
          = prefix_index_find (pick->index, work->prefix_blocks[depth - 1]);

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
  if (depth == work->prefix_block_count)
    depth--;
  if (!search_home (search, work->prefix_blocks[depth], &choice->index))
    return false;
  choice->reason = "home";
  counter_add (&chosen_home, 1);
  return true;
}

static void
prefix_choose (pick_t *pick, const pick_request_t *work,
               const pick_candidate_t *const *candidates, size_t count,
               struct timespec now, pick_choice_t *choice)
{
  prefix_search_t search
      = { .work = work, .candidates = candidates, .count = count, .now = now };

  if (work->prefix_block_count > 0)
    {
      search_begin (&search);
      if (search_cached (pick, &search, choice))
        return;
    }
  choice->index
      = load_pick_least (&pick->random, work, candidates, count, now);
  choice->reason = "least-loaded";
  counter_add (&chosen_least, 1);
}

static void
prefix_note_blocks (pick_t *pick, uint64_t name_hash, const uint64_t *blocks,
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
prefix_note_restart (pick_t *pick, uint64_t name_hash)
{
  prefix_index_remove_upstream (pick->index, name_hash);
}

static const pick_ops_t prefix_ops = {
  .create = prefix_create,
  .destroy = prefix_destroy,
  .choose = prefix_choose,
  .note_blocks = prefix_note_blocks,
  .note_restart = prefix_note_restart,
};

PLUGIN_REGISTER (prefix, PLUGIN_PICK, "prefix",
                 "cached prompt prefixes, balanced against load", &prefix_ops);
