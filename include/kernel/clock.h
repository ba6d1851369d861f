#ifndef SISKIN_KERNEL_CLOCK_H
#define SISKIN_KERNEL_CLOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* A source of time.  Code whose decisions depend on time gets the clock as a
   parameter, so that tests and benchmarks can run on a virtual clock.  */
typedef struct clock_source clock_source_t;

typedef struct clock_ops
{
  struct timespec (*monotonic) (const clock_source_t *clock);
  struct timespec (*realtime) (const clock_source_t *clock);
} clock_ops_t;

/* A virtual clock starts at START and advances only by clock_advance.  */
clock_source_t *clock_create_system (TALLOC_CTX *parent);
clock_source_t *clock_create_virtual (TALLOC_CTX *parent,
                                      struct timespec start);
void clock_destroy (clock_source_t *clock);
struct timespec clock_monotonic (const clock_source_t *clock);
struct timespec clock_realtime (const clock_source_t *clock);
void clock_advance (clock_source_t *clock, struct timespec step);

struct timespec timespec_add (struct timespec left, struct timespec right);
struct timespec timespec_subtract (struct timespec left,
                                   struct timespec right);
bool timespec_is_zero (struct timespec value);
int timespec_compare (struct timespec left, struct timespec right);
struct timespec timespec_from_ms (int64_t milliseconds);
int64_t timespec_to_ms (struct timespec value);
struct timespec timespec_from_us (int64_t microseconds);
int64_t timespec_to_us (struct timespec value);

#endif
