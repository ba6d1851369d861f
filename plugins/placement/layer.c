#include "plugins/placement/layer.h"

/* Relative precision of the bisection for the finish time.  */
static const double balance_precision = 1e-5;

static void
layer_attach (layer_t *layer, replica_t *replica, unsigned expert)
{
  replica->expert = expert;
  replica->load = 0;
  LIST_INSERT_HEAD (&layer->experts[expert].replicas, replica, expert_link);
  layer->experts[expert].count++;
}

static void
layer_read_slot (layer_t *layer, unsigned rank, unsigned slot,
                 const placement_slot_t *from)
{
  replica_t *replica = &layer->replicas[rank * layer->shape.slots + slot];

  replica->rank = rank;
  replica->slot = slot;
  replica->expert = from->expert;
  if (from->expert == PLACEMENT_SLOT_FREE)
    return;
  LIST_INSERT_HEAD (&layer->ranks[rank].replicas, replica, rank_link);
  layer_attach (layer, replica, from->expert);
  replica->load = from->share;
}

/* Converts the shares, which layer_read_slot stored as loads, into loads.  */
static void
layer_scale_loads (layer_t *layer)
{
  for (unsigned i = 0; i < layer->shape.experts; i++)
    {
      layer_expert_t *expert = &layer->experts[i];
      replica_t *replica;
      double total = 0;

      LIST_FOREACH (replica, &expert->replicas, expert_link)
        total += replica->load;
      LIST_FOREACH (replica, &expert->replicas, expert_link)
        {
          replica->load
              = total > 0 ? replica->load / total : 1.0 / expert->count;
          replica->load *= expert->popularity;
          layer->ranks[replica->rank].load += replica->load;
        }
    }
}

/* Creates the graph of layer INDEX of MAP, with the loads that ESTIMATE
   predicts.  Returns NULL when memory is exhausted.  */
layer_t *
layer_create (TALLOC_CTX *parent, const estimate_t *estimate, unsigned index,
              const placement_map_t *map)
{
  const placement_shape_t *shape = &map->shape;
  const double *popularity = estimate_popularity (estimate, index);
  layer_t *layer = talloc_zero (parent, layer_t);

  if (layer == NULL)
    return NULL;
  layer->shape = *shape;
  layer->experts = talloc_zero_array (layer, layer_expert_t, shape->experts);
  layer->ranks = talloc_zero_array (layer, layer_rank_t, shape->ranks);
  layer->replicas
      = talloc_zero_array (layer, replica_t, shape->ranks * shape->slots);
  for (unsigned i = 0; i < shape->experts; i++)
    layer->experts[i].popularity = popularity[i];
  for (unsigned i = 0; i < shape->ranks; i++)
    {
      layer->ranks[i].speed = estimate->speed[i];
      for (unsigned j = 0; j < shape->slots; j++)
        layer_read_slot (layer, i, j, placement_map_slot (map, index, i, j));
    }
  layer_scale_loads (layer);
  return layer;
}

/* Returns the time of RANK in the layer; 1 is the time of a rank of mean
   speed for all tokens.  */
double
layer_rank_time (const layer_t *layer, unsigned rank)
{
  return layer->ranks[rank].load / layer->ranks[rank].speed;
}

/* Returns the slowest rank's time.  */
double
layer_time (const layer_t *layer)
{
  double time = 0;

  for (unsigned i = 0; i < layer->shape.ranks; i++)
    {
      if (layer_rank_time (layer, i) > time)
        time = layer_rank_time (layer, i);
    }
  return time;
}

/* Returns the time if all ranks were equally busy: all tokens over the
   total speed.  */
double
layer_mean_time (const layer_t *layer)
{
  double speed = 0;

  for (unsigned i = 0; i < layer->shape.ranks; i++)
    speed += layer->ranks[i].speed;
  return 1.0 / speed;
}

/* Returns a lower bound of the time for any split of tokens among these
   replicas: all tokens over the total speed, or any expert's tokens over
   the speed of the ranks that hold it.  */
double
layer_time_bound (const layer_t *layer)
{
  double bound = layer_mean_time (layer);

  for (unsigned i = 0; i < layer->shape.experts; i++)
    {
      const replica_t *replica;
      double speed = 0;

      LIST_FOREACH (replica, &layer->experts[i].replicas, expert_link)
        speed += layer->ranks[replica->rank].speed;
      if (layer->experts[i].popularity > bound * speed)
        bound = layer->experts[i].popularity / speed;
    }
  return bound;
}

/* Returns the time at which the ranks that hold EXPERT finish if its
   tokens are split so that they finish together (water-filling), by
   bisection.  */
static double
layer_expert_finish_time (const layer_t *layer, const layer_expert_t *expert)
{
  double low = 0;
  double high = expert->popularity / layer->ranks[0].speed;
  const replica_t *replica;

  LIST_FOREACH (replica, &expert->replicas, expert_link)
    {
      const layer_rank_t *rank = &layer->ranks[replica->rank];
      double alone
          = (rank->load - replica->load + expert->popularity) / rank->speed;

      if (alone > high)
        high = alone;
    }
  while (high - low > balance_precision * high)
    {
      double finish_time = (low + high) / 2;
      double capacity = 0;

      LIST_FOREACH (replica, &expert->replicas, expert_link)
        {
          const layer_rank_t *rank = &layer->ranks[replica->rank];
          double available
              = finish_time * rank->speed - rank->load + replica->load;

          if (available > 0)
            capacity += available;
        }
      if (capacity > expert->popularity)
        high = finish_time;
      else
        low = finish_time;
    }
  return high;
}

/* Splits the tokens of the expert INDEX so that the ranks that hold it
   finish together, as far as their other load allows.  */
void
layer_split_expert (layer_t *layer, unsigned index)
{
  layer_expert_t *expert = &layer->experts[index];
  double finish_time = layer_expert_finish_time (layer, expert);
  double assigned = 0;
  replica_t *replica;

  LIST_FOREACH (replica, &expert->replicas, expert_link)
    {
      layer_rank_t *rank = &layer->ranks[replica->rank];
      double available;

      rank->load -= replica->load;
      available = finish_time * rank->speed - rank->load;
      replica->load = available > 0 ? available : 0;
      assigned += replica->load;
    }
  LIST_FOREACH (replica, &expert->replicas, expert_link)
    {
      replica->load *= expert->popularity / assigned;
      layer->ranks[replica->rank].load += replica->load;
    }
}

/* Splits the tokens of every expert in turn, SWEEPS times.  Each split
   lowers the sum over the ranks of load times time; at its minimum the
   slowest rank's time is minimal too.  */
void
layer_balance (layer_t *layer, unsigned sweeps)
{
  for (unsigned sweep = 0; sweep < sweeps; sweep++)
    {
      for (unsigned i = 0; i < layer->shape.experts; i++)
        {
          if (layer->experts[i].count > 1)
            layer_split_expert (layer, i);
        }
    }
}

/* Returns whether RANK holds a replica of EXPERT.  */
bool
layer_rank_holds (const layer_t *layer, unsigned rank, unsigned expert)
{
  const replica_t *replica;

  LIST_FOREACH (replica, &layer->ranks[rank].replicas, rank_link)
    {
      if (replica->expert == expert)
        return true;
    }
  return false;
}

/* Changes REPLICA to hold EXPERT, and splits the tokens of both experts
   again.  The previous expert must have another replica.  */
void
layer_replace_expert (layer_t *layer, replica_t *replica, unsigned expert)
{
  unsigned before = replica->expert;

  LIST_REMOVE (replica, expert_link);
  layer->experts[before].count--;
  layer->ranks[replica->rank].load -= replica->load;
  layer_attach (layer, replica, expert);
  layer_split_expert (layer, before);
  layer_split_expert (layer, expert);
}

/* Writes the graph into layer INDEX of MAP.  */
void
layer_write_map (const layer_t *layer, unsigned index, placement_map_t *map)
{
  for (unsigned i = 0; i < layer->shape.ranks * layer->shape.slots; i++)
    {
      const replica_t *replica = &layer->replicas[i];
      placement_slot_t *slot
          = placement_map_slot (map, index, replica->rank, replica->slot);
      double part;

      slot->expert = (uint16_t)replica->expert;
      slot->share = 0;
      if (replica->expert == PLACEMENT_SLOT_FREE)
        continue;
      part = replica->load / layer->experts[replica->expert].popularity;
      slot->share = (uint16_t)(part * PLACEMENT_SHARE_FULL + 0.5);
    }
}
