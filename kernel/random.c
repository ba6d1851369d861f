#include "kernel/random.h"

#include <stdbool.h>
#include <sys/random.h>
#include <time.h>

static bool is_seeded;
static uint64_t state; /* of the splitmix64 generator, if a seed was set */

/* Return the next number of the splitmix64 generator.  */
static uint64_t
random_splitmix64 (void)
{
  uint64_t value = state += 0x9e3779b97f4a7c15;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

/* Return a random number other than 0.  Unless a seed was set, it comes from
   the operating system, so that no two runs get the same numbers.  */
uint64_t
random_next (void)
{
  uint64_t value = 0;

  if (is_seeded)
    value = random_splitmix64 ();
  else if (getrandom (&value, sizeof value, 0) != sizeof value)
    value = (uint64_t)time (NULL);
  return value == 0 ? 1 : value;
}

/* Derive all further numbers from SEED, which makes a run repeatable.  Must be
   called before threads are started.  */
void
random_set_seed (uint64_t seed)
{
  is_seeded = true;
  state = seed;
}
