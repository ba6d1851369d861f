#include "plugins/placement/layer_search.h"

#include <math.h>
#include <string.h>

enum
{
  /* Number of the slowest rank's most loaded experts that are tried as the
     expert to move.  */
  HOT_EXPERT_CANDIDATES = 4,
  /* Number of ranks with and without a spare slot that are tried as the target
     of a move.  */
  TARGET_RANK_CANDIDATES = 4
};

/* Minimum reduction of a layer's cost by a move.  The unit is the time of
   a balanced layer.  */
static const double min_improvement = 1e-4;
/* Lower limit of the popularity: an expert without tokens may get some
   later.  */
static const double min_popularity = 1e-5;

/* What a move does to the load of a rank.  */
typedef struct load_change
{
  unsigned rank;
  double change;
} load_change_t;

/* The state of the search on one layer.  */
struct layer_search
{
  const placement_shape_t *shape;
  const layer_search_options_t *options;
  double *popularity; /* by expert; sums to 1 */
  unsigned *replicas; /* by expert */
  bool *was_held;     /* by expert and rank: in the current map */
  bool *is_held;      /* by expert and rank: after the moves */
  /* By expert and number of the replica: the rank that holds it, in any
     order.  */
  unsigned *holders;
  double *load; /* by rank: its time relative to the mean rank's */
  double norm;  /* sum of the eighth powers of LOAD */
  const double *speed;
  unsigned *used;         /* by rank: slots in use */
  unsigned *held;         /* by rank: the USED experts that it holds */
  unsigned *loads;        /* by rank: experts to be loaded */
  unsigned total_loads;   /* of all ranks */
  double cost;            /* cost before the move being evaluated */
  load_change_t *changes; /* of the move being evaluated */
  unsigned change_count;
};

/* A change of the layer: EXPERT is moved or copied from the rank SOURCE to
   the rank TARGET, which may drop EVICTED, or give it to SOURCE in
   exchange.  Without a target, SOURCE only drops EXPERT.  */
typedef struct move
{
  unsigned source;
  unsigned expert;
  bool is_copied; /* SOURCE keeps EXPERT */
  unsigned target;
  unsigned evicted; /* dropped by TARGET, or PLACEMENT_SLOT_FREE */
  bool is_swap;     /* SOURCE gets EVICTED */
  double gain;      /* reduction of the layer's cost */
} move_t;

static bool *
held_flag (const layer_search_t *search, unsigned rank, unsigned expert)
{
  return &search->is_held[(size_t)expert * search->shape->ranks + rank];
}

static bool
was_held (const layer_search_t *search, unsigned rank, unsigned expert)
{
  return search->was_held[(size_t)expert * search->shape->ranks + rank];
}

static unsigned *
rank_held (const layer_search_t *search, unsigned rank)
{
  return &search->held[(size_t)rank * (search->shape->slots + 1)];
}

static unsigned *
expert_holders (const layer_search_t *search, unsigned expert)
{
  return &search->holders[(size_t)expert * search->shape->ranks];
}

static double
eighth_power (double value)
{
  double square = value * value;
  double fourth = square * square;

  return fourth * fourth;
}

static void
change_load (layer_search_t *search, unsigned rank, double change)
{
  double *load = &search->load[rank];

  search->norm -= eighth_power (*load);
  *load += change;
  search->norm += eighth_power (*load);
}

/* Returns the load that a replica of EXPERT adds to RANK if the expert has
   REPLICAS of them.  */
static double
replica_load (const layer_search_t *search, unsigned expert, unsigned replicas,
              unsigned rank)
{
  return search->popularity[expert] * search->shape->ranks / replicas
         / search->speed[rank];
}

/* Changes the number of replicas of EXPERT and updates the load of the
   ranks that hold it.  */
static void
set_replica_count (layer_search_t *search, unsigned expert, unsigned replicas)
{
  unsigned before = search->replicas[expert];
  const unsigned *holders = expert_holders (search, expert);
  unsigned holder_count = before < replicas ? before : replicas;

  for (unsigned i = 0; i < holder_count; i++)
    change_load (search, holders[i],
                 replica_load (search, expert, replicas, holders[i])
                     - replica_load (search, expert, before, holders[i]));
  search->replicas[expert] = replicas;
}

/* Changes the number of experts that RANK has to load.  */
static void
change_loads (layer_search_t *search, unsigned rank, int change)
{
  search->loads[rank] += (unsigned)change;
  search->total_loads += (unsigned)change;
  if (search->options->loads_left != NULL)
    search->options->loads_left[rank] -= (unsigned)change;
}

/* Replaces VALUE, which LIST contains, by the last of its COUNT elements.  */
static void
list_remove (unsigned *list, unsigned count, unsigned value)
{
  unsigned at = 0;

  while (list[at] != value)
    at++;
  list[at] = list[count - 1];
}

/* Records that RANK holds EXPERT, which so far has as many holders as
   replicas.  */
static void
hold_expert (layer_search_t *search, unsigned rank, unsigned expert)
{
  *held_flag (search, rank, expert) = true;
  rank_held (search, rank)[search->used[rank]++] = expert;
  expert_holders (search, expert)[search->replicas[expert]] = rank;
}

/* Records that RANK does not hold EXPERT any more, which still has as many
   holders as replicas.  */
static void
release_expert (layer_search_t *search, unsigned rank, unsigned expert)
{
  *held_flag (search, rank, expert) = false;
  list_remove (rank_held (search, rank), search->used[rank]--, expert);
  list_remove (expert_holders (search, expert), search->replicas[expert],
               rank);
}

static void
add_replica (layer_search_t *search, unsigned rank, unsigned expert)
{
  hold_expert (search, rank, expert);
  set_replica_count (search, expert, search->replicas[expert] + 1);
  change_load (search, rank,
               replica_load (search, expert, search->replicas[expert], rank));
  if (!was_held (search, rank, expert))
    change_loads (search, rank, 1);
}

static void
drop_replica (layer_search_t *search, unsigned rank, unsigned expert)
{
  change_load (search, rank,
               -replica_load (search, expert, search->replicas[expert], rank));
  release_expert (search, rank, expert);
  set_replica_count (search, expert, search->replicas[expert] - 1);
  if (!was_held (search, rank, expert))
    change_loads (search, rank, -1);
}

/* Moves the replica of EXPERT from one rank to another.  */
static void
move_replica (layer_search_t *search, unsigned from, unsigned to,
              unsigned expert)
{
  add_replica (search, to, expert);
  drop_replica (search, from, expert);
}

static void
apply_move (layer_search_t *search, const move_t *move)
{
  if (move->is_swap)
    {
      move_replica (search, move->source, move->target, move->expert);
      move_replica (search, move->target, move->source, move->evicted);
      return;
    }
  if (move->target != PLACEMENT_SLOT_FREE
      && move->evicted != PLACEMENT_SLOT_FREE)
    drop_replica (search, move->target, move->evicted);
  if (move->target != PLACEMENT_SLOT_FREE)
    add_replica (search, move->target, move->expert);
  if (!move->is_copied)
    drop_replica (search, move->source, move->expert);
}

/* Returns a smooth approximation of the slowest rank's time (the 8-norm of
   the loads) plus a penalty for each expert to be loaded.  The other ranks
   contribute a little, so that moves that only prepare a later gain are
   recognized as progress.  */
static double
search_cost (const layer_search_t *search, double norm, int more_loads)
{
  return sqrt (sqrt (sqrt (norm)))
         + search->options->min_gain_per_load
               * ((double)search->total_loads + more_loads);
}

/* Adds CHANGE of the load of RANK to those of the move being evaluated.  */
static void
note_change (layer_search_t *search, unsigned rank, double change)
{
  load_change_t *changes = search->changes;

  for (unsigned i = 0; i < search->change_count; i++)
    {
      if (changes[i].rank != rank)
        continue;
      changes[i].change += change;
      return;
    }
  changes[search->change_count++]
      = (load_change_t){ .rank = rank, .change = change };
}

/* Notes that EXPERT gets REPLICAS at the ranks that hold it now; EXCEPT does
   not hold it any more.  */
static void
note_replica_count (layer_search_t *search, unsigned expert, unsigned replicas,
                    unsigned except)
{
  const unsigned *holders = expert_holders (search, expert);
  unsigned before = search->replicas[expert];

  for (unsigned i = 0; i < before; i++)
    {
      double load = replica_load (search, expert, before, holders[i]);

      note_change (search, holders[i],
                   holders[i] == except
                       ? -load
                       : replica_load (search, expert, replicas, holders[i])
                             - load);
    }
}

/* Notes that the only replica of EXPERT that moves goes from one rank to
   another.  */
static void
note_transfer (layer_search_t *search, unsigned expert, unsigned from,
               unsigned to)
{
  unsigned replicas = search->replicas[expert];

  note_change (search, from, -replica_load (search, expert, replicas, from));
  note_change (search, to, replica_load (search, expert, replicas, to));
}

/* Notes the changes of the load by MOVE.  */
static void
note_move (layer_search_t *search, const move_t *move)
{
  unsigned replicas = search->replicas[move->expert];

  search->change_count = 0;
  if (move->target == PLACEMENT_SLOT_FREE)
    {
      note_replica_count (search, move->expert, replicas - 1, move->source);
      return;
    }
  if (!move->is_copied || move->is_swap)
    note_transfer (search, move->expert, move->source, move->target);
  else
    {
      note_replica_count (search, move->expert, replicas + 1,
                          PLACEMENT_SLOT_FREE);
      note_change (
          search, move->target,
          replica_load (search, move->expert, replicas + 1, move->target));
    }
  if (move->evicted == PLACEMENT_SLOT_FREE)
    return;
  if (move->is_swap)
    note_transfer (search, move->evicted, move->target, move->source);
  else
    note_replica_count (search, move->evicted,
                        search->replicas[move->evicted] - 1, move->target);
}

/* Returns how many experts more have to be loaded after MOVE.  */
static int
move_loads (const layer_search_t *search, const move_t *move)
{
  bool leaves_source = !move->is_copied || move->is_swap;
  int loads = 0;

  if (move->target != PLACEMENT_SLOT_FREE)
    loads += !was_held (search, move->target, move->expert);
  if (leaves_source)
    loads -= !was_held (search, move->source, move->expert);
  if (move->evicted != PLACEMENT_SLOT_FREE)
    loads -= !was_held (search, move->target, move->evicted);
  if (move->is_swap)
    loads += !was_held (search, move->source, move->evicted);
  return loads;
}

/* Returns the sum of the eighth powers of the loads after the changes
   noted.  */
static double
changed_norm (const layer_search_t *search)
{
  double norm = search->norm;

  for (unsigned i = 0; i < search->change_count; i++)
    {
      double load = search->load[search->changes[i].rank];

      norm += eighth_power (load + search->changes[i].change)
              - eighth_power (load);
    }
  return norm > 0 ? norm : 0;
}

static double
search_max_time (const layer_search_t *search, unsigned *slowest)
{
  double max_time = 0;

  for (unsigned rank = 0; rank < search->shape->ranks; rank++)
    {
      if (search->load[rank] <= max_time)
        continue;
      max_time = search->load[rank];
      *slowest = rank;
    }
  return max_time;
}

static bool
can_load (const layer_search_t *search, unsigned rank, unsigned expert)
{
  const layer_search_options_t *options = search->options;

  if (was_held (search, rank, expert))
    return true;
  if (options->loads_left != NULL && options->loads_left[rank] == 0)
    return false;
  return options->max_loads_per_rank == 0
         || search->loads[rank] < options->max_loads_per_rank;
}

static void
evaluate_move (layer_search_t *search, move_t *move, move_t *best)
{
  note_move (search, move);
  move->gain = search->cost
               - search_cost (search, changed_norm (search),
                              move_loads (search, move));
  if (move->gain > best->gain)
    *best = *move;
}

/* Evaluates moving, copying and swapping EXPERT from SOURCE to TARGET.  */
static void
evaluate_target (layer_search_t *search, unsigned source, unsigned expert,
                 unsigned target, move_t *best)
{
  move_t move = { .source = source,
                  .expert = expert,
                  .is_copied = true,
                  .target = target,
                  .evicted = PLACEMENT_SLOT_FREE };
  const unsigned *held = rank_held (search, target);

  if (*held_flag (search, target, expert)
      || !can_load (search, target, expert))
    return;
  if (search->used[target] < search->shape->slots)
    {
      evaluate_move (search, &move, best);
      move.is_copied = false;
      evaluate_move (search, &move, best);
      return;
    }
  for (unsigned i = 0; i < search->shape->slots; i++)
    {
      unsigned evicted = held[i];

      move.evicted = evicted;
      move.is_swap = false;
      move.is_copied = true;
      if (search->replicas[evicted] > 1)
        evaluate_move (search, &move, best);
      move.is_swap = true;
      if (!*held_flag (search, source, evicted)
          && can_load (search, source, evicted))
        evaluate_move (search, &move, best);
    }
}

/* Returns whether RANK can take an expert without giving another one away: it
   has a free slot, or holds an expert that other ranks hold too.  */
static bool
rank_has_spare_slot (const layer_search_t *search, unsigned rank)
{
  if (search->used[rank] < search->shape->slots)
    return true;
  for (unsigned i = 0; i < search->used[rank]; i++)
    {
      if (search->replicas[rank_held (search, rank)[i]] > 1)
        return true;
    }
  return false;
}

/* Fills RANKS with the least loaded ranks in ascending order, of those with a
   spare slot if HAS_SPARE_SLOT, otherwise of the others.  RANKS has room for
   TARGET_RANK_CANDIDATES + 1.  Returns their number.  */
static unsigned
search_least_loaded (const layer_search_t *search, bool has_spare_slot,
                     unsigned *ranks)
{
  unsigned count = 0;

  for (unsigned rank = 0; rank < search->shape->ranks; rank++)
    {
      unsigned position = count;

      if (rank_has_spare_slot (search, rank) != has_spare_slot)
        continue;
      while (position > 0
             && search->load[ranks[position - 1]] > search->load[rank])
        position--;
      if (position == TARGET_RANK_CANDIDATES)
        continue;
      if (count < TARGET_RANK_CANDIDATES)
        count++;
      memmove (&ranks[position + 1], &ranks[position],
               (count - 1 - position) * sizeof *ranks);
      ranks[position] = rank;
    }
  return count;
}

/* Fills EXPERTS with the experts that load RANK most, in descending order.
   EXPERTS has room for HOT_EXPERT_CANDIDATES + 1.  Returns their number.  */
static unsigned
search_hottest_experts (const layer_search_t *search, unsigned rank,
                        unsigned *experts)
{
  double loads[HOT_EXPERT_CANDIDATES];
  unsigned count = 0;

  for (unsigned i = 0; i < search->used[rank]; i++)
    {
      unsigned expert = rank_held (search, rank)[i];
      unsigned position = count;
      double load;

      load = replica_load (search, expert, search->replicas[expert], rank);
      while (position > 0 && loads[position - 1] < load)
        position--;
      if (position == HOT_EXPERT_CANDIDATES)
        continue;
      if (count < HOT_EXPERT_CANDIDATES)
        count++;
      memmove (&experts[position + 1], &experts[position],
               (count - 1 - position) * sizeof *experts);
      memmove (&loads[position + 1], &loads[position],
               (count - 1 - position) * sizeof *loads);
      experts[position] = expert;
      loads[position] = load;
    }
  return count;
}

static bool
find_best_move (layer_search_t *search, move_t *best)
{
  unsigned slowest = 0;
  unsigned targets[2 * (TARGET_RANK_CANDIDATES + 1)];
  unsigned experts[HOT_EXPERT_CANDIDATES + 1];
  unsigned target_count = search_least_loaded (search, false, targets);
  unsigned expert_count;

  target_count += search_least_loaded (search, true, &targets[target_count]);
  search_max_time (search, &slowest);
  expert_count = search_hottest_experts (search, slowest, experts);
  search->cost = search_cost (search, search->norm, 0);
  best->gain = min_improvement;
  best->source = PLACEMENT_SLOT_FREE;
  for (unsigned i = 0; i < expert_count; i++)
    {
      move_t drop = { .source = slowest,
                      .expert = experts[i],
                      .target = PLACEMENT_SLOT_FREE,
                      .evicted = PLACEMENT_SLOT_FREE };

      if (search->replicas[experts[i]] > 1)
        evaluate_move (search, &drop, best);
      for (unsigned j = 0; j < target_count; j++)
        {
          if (targets[j] != slowest)
            evaluate_target (search, slowest, experts[i], targets[j], best);
        }
    }
  return best->source != PLACEMENT_SLOT_FREE;
}

static void
search_read_map (layer_search_t *search, const placement_map_t *map,
                 unsigned layer)
{
  const placement_shape_t *shape = search->shape;

  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      for (unsigned slot = 0; slot < shape->slots; slot++)
        {
          unsigned expert
              = placement_map_slot (map, layer, rank, slot)->expert;

          if (expert == PLACEMENT_SLOT_FREE
              || *held_flag (search, rank, expert))
            continue;
          hold_expert (search, rank, expert);
          search->replicas[expert]++;
        }
    }
  memcpy (search->was_held, search->is_held,
          (size_t)shape->ranks * shape->experts * sizeof *search->is_held);
  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      for (unsigned expert = 0; expert < shape->experts; expert++)
        {
          if (*held_flag (search, rank, expert))
            change_load (
                search, rank,
                replica_load (search, expert, search->replicas[expert], rank));
        }
    }
}

/* Creates a search that starts from LAYER of MAP.  Returns NULL when memory is
   exhausted.  */
layer_search_t *
layer_search_create (TALLOC_CTX *parent, const placement_map_t *map,
                     unsigned layer, const double *counts, const double *speed,
                     const layer_search_options_t *options)
{
  const placement_shape_t *shape = &map->shape;
  size_t pairs = (size_t)shape->ranks * shape->experts;
  layer_search_t *search = talloc_zero (parent, layer_search_t);
  double total = 0;

  if (search == NULL)
    return NULL;
  search->shape = shape;
  search->options = options;
  search->speed = speed;
  search->popularity = talloc_array (search, double, shape->experts);
  search->replicas = talloc_zero_array (search, unsigned, shape->experts);
  search->was_held = talloc_zero_array (search, bool, pairs);
  search->is_held = talloc_zero_array (search, bool, pairs);
  search->load = talloc_zero_array (search, double, shape->ranks);
  search->holders = talloc_zero_array (search, unsigned, pairs);
  /* A move changes the load of the holders of two experts and of its source
     and target.  */
  search->changes
      = talloc_array (search, load_change_t, 2 * (size_t)shape->ranks + 2);
  search->used = talloc_zero_array (search, unsigned, shape->ranks);
  /* A move may use one slot more for a moment.  */
  search->held = talloc_zero_array (search, unsigned,
                                    (size_t)shape->ranks *(shape->slots + 1));
  search->loads = talloc_zero_array (search, unsigned, shape->ranks);
  for (unsigned i = 0; i < shape->experts; i++)
    total += counts[i];
  for (unsigned i = 0; i < shape->experts; i++)
    {
      search->popularity[i]
          = total > 0 ? counts[i] / total : 1.0 / shape->experts;
      if (search->popularity[i] < min_popularity)
        search->popularity[i] = min_popularity;
    }
  search_read_map (search, map, layer);
  return search;
}

/* Frees SEARCH.  */
void
layer_search_destroy (layer_search_t *search)
{
  talloc_free (search);
}

/* Applies the best move.  Returns false if none gains enough.  */
bool
layer_search_step (layer_search_t *search)
{
  move_t move;

  if (!find_best_move (search, &move))
    return false;
  apply_move (search, &move);
  return true;
}

/* Returns the time of the slowest rank.  */
double
layer_search_time (const layer_search_t *search)
{
  unsigned slowest;

  return search_max_time (search, &slowest);
}

/* Returns the number of experts that RANK has to load.  */
unsigned
layer_search_loads (const layer_search_t *search, unsigned rank)
{
  return search->loads[rank];
}

/* Writes the placement after the moves to LAYER of MAP.  */
void
layer_search_write_map (const layer_search_t *search, placement_map_t *map,
                        unsigned layer)
{
  const placement_shape_t *shape = search->shape;

  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      unsigned slot = 0;

      for (unsigned expert = 0; expert < shape->experts; expert++)
        {
          if (*held_flag (search, rank, expert))
            *placement_map_slot (map, layer, rank, slot++)
                = (placement_slot_t){
                    .expert = (uint16_t)expert,
                    .share = (uint16_t)(PLACEMENT_SHARE_FULL
                                        / search->replicas[expert])
                  };
        }
      while (slot < shape->slots)
        *placement_map_slot (map, layer, rank, slot++)
            = (placement_slot_t){ .expert = PLACEMENT_SLOT_FREE };
    }
}
