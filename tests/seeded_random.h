#ifndef SISKIN_TESTS_SEEDED_RANDOM_H
#define SISKIN_TESTS_SEEDED_RANDOM_H

#include <stdint.h>

/* Returns the next pseudo-random number below BOUND.  STATE starts with a
   seed; each seed gives the same numbers in each run.  */
static inline uint64_t
seeded_random_below (uint64_t *state, uint64_t bound)
{
  *state = *state * 6364136223846793005ULL + 1442695040888963407;
  return (*state >> 33) % bound;
}

#endif
