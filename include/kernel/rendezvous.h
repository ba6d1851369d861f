#ifndef SISKIN_KERNEL_RENDEZVOUS_H
#define SISKIN_KERNEL_RENDEZVOUS_H

#include <stdint.h>

/* Return the weight of the place PLACE for KEY.  By rendezvous hashing a key
   belongs to the place of the highest weight, so that all who know the places
   agree and a place that comes or goes moves only its own keys.  Inline, since
   a choice weighs hundreds.  */
static inline uint64_t
rendezvous_weight (uint64_t key, uint64_t place)
{
  uint64_t mixed = key ^ (place * 0x9e3779b97f4a7c15);

  mixed = (mixed ^ (mixed >> 32)) * 0xd6e8feb86659fd93;
  mixed = (mixed ^ (mixed >> 32)) * 0xd6e8feb86659fd93;
  return mixed ^ (mixed >> 32);
}

#endif
