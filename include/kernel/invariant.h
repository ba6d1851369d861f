#ifndef SISKIN_KERNEL_INVARIANT_H
#define SISKIN_KERNEL_INVARIANT_H

#include <stdbool.h>
#include <stdint.h>

/* Check a condition that must always hold.  A violation aborts test programs;
   in production it is logged and counted.  */
#define INVARIANT(condition, name)                                            \
  ((condition) ? (void)0 : invariant_violated ((name), __FILE__, __LINE__))

void invariant_violated (const char *name, const char *file, int line);
void invariant_set_fatal (bool is_fatal);
int64_t invariant_violations (void);

#endif
