#include "plugins/placement/layer_move.h"

#include <math.h>

/* Returns whether RANK holds EXPERT after the moves made, to be changed.  */
bool *
layer_held_flag (const layer_search_t *search, unsigned rank, unsigned expert)
{
  return &search->is_held[(size_t)expert * search->shape->ranks + rank];
}

/* Returns whether RANK holds EXPERT in the current map.  */
bool
layer_was_held (const layer_search_t *search, unsigned rank, unsigned expert)
{
  return search->was_held[(size_t)expert * search->shape->ranks + rank];
}

/* Returns the experts that RANK holds.  */
unsigned *
layer_rank_held (const layer_search_t *search, unsigned rank)
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

/* Changes the load of RANK.  */
void
layer_change_load (layer_search_t *search, unsigned rank, double change)
{
  double *load = &search->load[rank];

  search->norm -= eighth_power (*load);
  *load += change;
  search->norm += eighth_power (*load);
}

/* Returns the load that a replica of EXPERT adds to RANK if the expert has
   REPLICAS of them.  */
double
layer_replica_load (const layer_search_t *search, unsigned expert,
                    unsigned replicas, unsigned rank)
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
    layer_change_load (
        search, holders[i],
        layer_replica_load (search, expert, replicas, holders[i])
            - layer_replica_load (search, expert, before, holders[i]));
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
void
layer_hold_expert (layer_search_t *search, unsigned rank, unsigned expert)
{
  *layer_held_flag (search, rank, expert) = true;
  layer_rank_held (search, rank)[search->used[rank]++] = expert;
  expert_holders (search, expert)[search->replicas[expert]] = rank;
}

/* Records that RANK does not hold EXPERT any more, which still has as many
   holders as replicas.  */
static void
release_expert (layer_search_t *search, unsigned rank, unsigned expert)
{
  *layer_held_flag (search, rank, expert) = false;
  list_remove (layer_rank_held (search, rank), search->used[rank]--, expert);
  list_remove (expert_holders (search, expert), search->replicas[expert],
               rank);
}

static void
add_replica (layer_search_t *search, unsigned rank, unsigned expert)
{
  layer_hold_expert (search, rank, expert);
  set_replica_count (search, expert, search->replicas[expert] + 1);
  layer_change_load (
      search, rank,
      layer_replica_load (search, expert, search->replicas[expert], rank));
  if (!layer_was_held (search, rank, expert))
    change_loads (search, rank, 1);
}

static void
drop_replica (layer_search_t *search, unsigned rank, unsigned expert)
{
  layer_change_load (
      search, rank,
      -layer_replica_load (search, expert, search->replicas[expert], rank));
  release_expert (search, rank, expert);
  set_replica_count (search, expert, search->replicas[expert] - 1);
  if (!layer_was_held (search, rank, expert))
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

/* Makes MOVE.  */
void
layer_apply_move (layer_search_t *search, const layer_move_t *move)
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

/* Returns the cost of a layer with the norm NORM and LOADS experts to be
   loaded.  */
static double
norm_cost (const layer_search_t *search, double norm, double loads)
{
  return sqrt (sqrt (sqrt (norm)))
         + search->options->min_gain_per_load * loads;
}

/* Returns a smooth approximation of the slowest rank's time (the 8-norm of
   the loads) plus a penalty for each expert to be loaded.  The other ranks
   contribute a little, so that moves that only prepare a later gain are
   recognized as progress.  */
double
layer_cost (const layer_search_t *search)
{
  return norm_cost (search, search->norm, search->total_loads);
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
      double load = layer_replica_load (search, expert, before, holders[i]);

      note_change (
          search, holders[i],
          holders[i] == except
              ? -load
              : layer_replica_load (search, expert, replicas, holders[i])
                    - load);
    }
}

/* Notes that a replica of EXPERT goes from one rank to another.  */
static void
note_transfer (layer_search_t *search, unsigned expert, unsigned from,
               unsigned to)
{
  unsigned replicas = search->replicas[expert];

  note_change (search, from,
               -layer_replica_load (search, expert, replicas, from));
  note_change (search, to, layer_replica_load (search, expert, replicas, to));
}

/* Notes the changes of the load by MOVE.  */
static void
note_move (layer_search_t *search, const layer_move_t *move)
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
      note_change (search, move->target,
                   layer_replica_load (search, move->expert, replicas + 1,
                                       move->target));
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
move_loads (const layer_search_t *search, const layer_move_t *move)
{
  bool leaves_source = !move->is_copied || move->is_swap;
  int loads = 0;

  if (move->target != PLACEMENT_SLOT_FREE)
    loads += !layer_was_held (search, move->target, move->expert);
  if (leaves_source)
    loads -= !layer_was_held (search, move->source, move->expert);
  if (move->evicted != PLACEMENT_SLOT_FREE)
    loads -= !layer_was_held (search, move->target, move->evicted);
  if (move->is_swap)
    loads += !layer_was_held (search, move->source, move->evicted);
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

/* Returns by how much MOVE would reduce the cost, which is SEARCH->cost.  */
double
layer_move_gain (layer_search_t *search, const layer_move_t *move)
{
  int more_loads;

  note_move (search, move);
  more_loads = move_loads (search, move);
  return search->cost
         - norm_cost (search, changed_norm (search),
                      (double)search->total_loads + more_loads);
}
