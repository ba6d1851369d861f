#ifndef SISKIN_KERNEL_HISTOGRAM_H
#define SISKIN_KERNEL_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

enum
{
  HISTOGRAM_BUCKET_COUNT = 14 /* the last one has no upper bound */
};

/* A histogram metric of durations.  Updates are atomic and take no lock.  */
typedef struct histogram
{
  SLIST_ENTRY (histogram) link;
  const char *name;
  const char *help;
  /* Number of durations in each bucket; cumulative only when rendered.  */
  atomic_int_fast64_t buckets[HISTOGRAM_BUCKET_COUNT];
  atomic_int_fast64_t sum_ms;
} histogram_t;

void histogram_register (histogram_t *histogram);
void histogram_record (histogram_t *histogram, int64_t duration_ms);
char *histogram_render_all (TALLOC_CTX *parent);

/* Define a histogram that registers itself before main starts.  METRIC must
   end in _seconds, the unit in which durations are exported.  */
#define HISTOGRAM_DEFINE(symbol, metric, text)                                \
  static histogram_t symbol = { .name = (metric), .help = (text) };           \
  __attribute__ ((constructor)) static void symbol##_register (void)          \
  {                                                                           \
    histogram_register (&symbol);                                             \
  }                                                                           \
  struct histogram

#endif
