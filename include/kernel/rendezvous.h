#ifndef SISKIN_KERNEL_RENDEZVOUS_H
#define SISKIN_KERNEL_RENDEZVOUS_H

#include <stdint.h>

/* Return the weight of the node that hashes to NODE_HASH for KEY.  With
   rendezvous hashing a key belongs to the node of the highest weight: all
   processes that know the same nodes agree, and adding or removing a node
   moves only keys to or from that node.  Inline, because one choice compares
   the weights of hundreds of nodes.  */
static inline uint64_t
rendezvous_weight (uint64_t key, uint64_t node_hash)
{
  uint64_t mixed = key ^ (node_hash * 0x9e3779b97f4a7c15);

  mixed = (mixed ^ (mixed >> 32)) * 0xd6e8feb86659fd93;
  mixed = (mixed ^ (mixed >> 32)) * 0xd6e8feb86659fd93;
  return mixed ^ (mixed >> 32);
}

#endif
