#include "pilot/count_levels.h"

static const uint64_t values[COUNT_LEVELS] = {
  0, 1, 2, 3, 4, 6, 9, 13, 19, 27, 39, 56, 81, 116, 168, COUNT_LEVELS_TOP
};

/* Returns the value of LEVEL.  */
uint64_t
count_level_value (unsigned level)
{
  return values[level];
}

/* Returns the highest level whose value is not above VALUE.  */
unsigned
count_level_below (uint64_t value)
{
  unsigned low = 0;
  unsigned high = COUNT_LEVELS;

  while (high - low > 1)
    {
      unsigned middle = (low + high) / 2;

      if (values[middle] <= value)
        low = middle;
      else
        high = middle;
    }
  return low;
}
