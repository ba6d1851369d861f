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

/* A histogram metric of durations or ratios.  Values are recorded in
   thousandths of the unit in which they are exported: durations in ms, ratios
   in thousandths.  Updates are atomic and take no lock.  */
typedef struct histogram
{
  SLIST_ENTRY (histogram) link;
  const char *name;
  const char *labels; /* text between the braces, or NULL for none */
  const char *help;
  /* Inclusive upper bounds of all buckets but the last; NULL for those of
     durations.  */
  const int64_t *bounds;
  /* Number of values in each bucket; cumulative only when rendered.  */
  atomic_int_fast64_t buckets[HISTOGRAM_BUCKET_COUNT];
  atomic_int_fast64_t sum;
} histogram_t;

void histogram_register (histogram_t *histogram);
/* Create a histogram of ratios and register it until it is freed.  */
histogram_t *histogram_create_ratio (TALLOC_CTX *parent, const char *name,
                                     const char *label, const char *value,
                                     const char *help);
void histogram_record (histogram_t *histogram, int64_t value);
void histogram_record_ratio (histogram_t *histogram, double ratio);
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
