#include "kernel/random.h"

#include <stdbool.h>
#include <sys/random.h>
#include <time.h>

static bool is_seeded;
static uint64_t state;

/* One step of splitmix64.  */
static uint64_t
random_mix (void)
{
  uint64_t value = state += 0x9e3779b97f4a7c15;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

/* Return a number that no other run has drawn, never 0.  */
uint64_t
random_next (void)
{
  uint64_t value = 0;

  if (is_seeded)
    value = random_mix ();
  else if (getrandom (&value, sizeof value, 0) != sizeof value)
    value = (uint64_t)time (NULL);
  return value == 0 ? 1 : value;
}

/* Draw all further numbers from SEED, for runs that have to be repeated.  To
   be called before threads start.  */
void
random_set_seed (uint64_t seed)
{
  is_seeded = true;
  state = seed;
}
