#ifndef SISKIN_KERNEL_HISTOGRAM_H
#define SISKIN_KERNEL_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

enum
{
  HISTOGRAM_BUCKET_COUNT = 14 /* the last takes all that is longer */
};

/* A metric of how long something takes, for collectors of metrics.  Updates
   are atomic and take no lock.  */
typedef struct histogram
{
  SLIST_ENTRY (histogram) link;
  const char *name;
  const char *help;
  atomic_int_fast64_t buckets[HISTOGRAM_BUCKET_COUNT];
  atomic_int_fast64_t sum_ms;
} histogram_t;

void histogram_register (histogram_t *histogram);
void histogram_record (histogram_t *histogram, int64_t took_ms);
char *histogram_render_all (TALLOC_CTX *parent);

/* Define a histogram that registers itself before main starts.  METRIC ends
   in _seconds.  */
#define HISTOGRAM_DEFINE(symbol, metric, text)                                \
  static histogram_t symbol = { .name = (metric), .help = (text) };           \
  __attribute__ ((constructor)) static void symbol##_register (void)          \
  {                                                                           \
    histogram_register (&symbol);                                             \
  }                                                                           \
  struct histogram

#endif
