#ifndef SISKIN_KERNEL_RANDOM_H
#define SISKIN_KERNEL_RANDOM_H

#include <stdint.h>

uint64_t random_next (void);
void random_set_seed (uint64_t seed);

#endif
