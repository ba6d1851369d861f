#ifndef SISKIN_TESTS_FUZZ_H
#define SISKIN_TESTS_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/* Called by libFuzzer, which gives it its name, with each input.  Always
   returns 0.  */
int LLVMFuzzerTestOneInput /* NOLINT(readability-identifier-naming) */
    (const uint8_t *bytes, size_t size);

/* Ends the process, so that libFuzzer reports the input, unless CONDITION
   holds.  */
#define FUZZ_CHECK(condition)                                                 \
  do                                                                          \
    {                                                                         \
      if (!(condition))                                                       \
        abort ();                                                             \
    }                                                                         \
  while (0)

#endif
