#include "plugins/placement/layer.h"

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

/* Turn the shares that the loads were read from into loads.  */
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

/* Create the graph of layer INDEX of MAP, loaded as ESTIMATE says.  */
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

/* Return the time that RANK takes for the layer; 1 is the time of a rank of
   mean speed for all tokens.  */
double
layer_rank_time (const layer_t *layer, unsigned rank)
{
  return layer->ranks[rank].load / layer->ranks[rank].speed;
}

/* Return the slowest rank's time.  */
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

/* Return the time of all tokens over the speed of all ranks.  */
double
layer_mean_time (const layer_t *layer)
{
  double speed = 0;

  for (unsigned i = 0; i < layer->shape.ranks; i++)
    speed += layer->ranks[i].speed;
  return 1.0 / speed;
}

/* Return a time that no split of tokens among these replicas is below: all
   tokens over all speed, or one expert's over the speed of its ranks.  */
double
layer_time_bound (const layer_t *layer)
{
  double bound = layer_mean_time (layer);

  for (unsigned i = 0; i < layer->shape.experts; i++)
    {
      const replica_t *replica;
      double own = 0;

      LIST_FOREACH (replica, &layer->experts[i].replicas, expert_link)
        own += layer->ranks[replica->rank].speed;
      if (layer->experts[i].popularity > bound * own)
        bound = layer->experts[i].popularity / own;
    }
  return bound;
}

/* Return the time at which ranks that hold EXPERT would end if its tokens
   went to whichever is free first.  */
static double
layer_expert_level (const layer_t *layer, const layer_expert_t *expert)
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
      double level = (low + high) / 2;
      double room = 0;

      LIST_FOREACH (replica, &expert->replicas, expert_link)
        {
          const layer_rank_t *rank = &layer->ranks[replica->rank];
          double free = level * rank->speed - rank->load + replica->load;

          if (free > 0)
            room += free;
        }
      if (room > expert->popularity)
        high = level;
      else
        low = level;
    }
  return high;
}

/* Split the tokens of EXPERT so that the ranks that hold it end together, as
   far as their other load allows.  */
void
layer_split_expert (layer_t *layer, unsigned index)
{
  layer_expert_t *expert = &layer->experts[index];
  double level = layer_expert_level (layer, expert);
  double given = 0;
  replica_t *replica;

  LIST_FOREACH (replica, &expert->replicas, expert_link)
    {
      layer_rank_t *rank = &layer->ranks[replica->rank];
      double free;

      rank->load -= replica->load;
      free = level * rank->speed - rank->load;
      replica->load = free > 0 ? free : 0;
      given += replica->load;
    }
  LIST_FOREACH (replica, &expert->replicas, expert_link)
    {
      replica->load *= expert->popularity / given;
      layer->ranks[replica->rank].load += replica->load;
    }
}

/* Spread every expert in turn, SWEEPS times.  Each turn lowers the sum of
   load times time over the ranks, whose least value has the least slowest
   rank.  */
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

/* Return whether RANK holds a replica of EXPERT.  */
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

/* Let REPLICA hold EXPERT instead, and spread both experts anew.  The one held
   before must have another replica.  */
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

/* Write the graph into layer INDEX of MAP.  */
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
