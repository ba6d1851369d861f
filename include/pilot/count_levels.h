#ifndef SISKIN_PILOT_COUNT_LEVELS_H
#define SISKIN_PILOT_COUNT_LEVELS_H

#include <stdint.h>

/* A scale of COUNT_LEVELS steps for counts, which are rounded down to it
   before they are sent.  From 4 on a step is about 1.4 times the one before,
   so that rare and popular experts are rounded by like parts.  */

enum
{
  COUNT_LEVELS = 16, /* a level fits into four bits */
  COUNT_LEVELS_TOP = 242
};

/* Returns the value of LEVEL, which is below COUNT_LEVELS.  */
uint64_t count_level_value (unsigned level);
/* Returns the highest level whose value is not above VALUE.  */
unsigned count_level_below (uint64_t value);

#endif
