#include "kernel/histogram.h"

#include <string.h>

/* Upper ends of all buckets but the last, in milliseconds; the usual
   objectives and time limits are among them.  */
static const int64_t bucket_ends[HISTOGRAM_BUCKET_COUNT - 1]
    = { 10, 25, 50, 100, 150, 250, 400, 600, 1000, 1500, 2500, 5000, 10000 };

static const double ms_a_second = 1000.0;

SLIST_HEAD (histogram_list, histogram);

static struct histogram_list registry = SLIST_HEAD_INITIALIZER (registry);

/* Add HISTOGRAM to the registry, sorted by name.  Runs before main.  */
void
histogram_register (histogram_t *histogram)
{
  histogram_t *entry;
  histogram_t *before = NULL;

  SLIST_FOREACH (entry, &registry, link)
    {
      if (strcmp (entry->name, histogram->name) > 0)
        break;
      before = entry;
    }
  if (before == NULL)
    SLIST_INSERT_HEAD (&registry, histogram, link);
  else
    SLIST_INSERT_AFTER (before, histogram, link);
}

/* Count something that took TOOK_MS milliseconds.  */
void
histogram_record (histogram_t *histogram, int64_t took_ms)
{
  unsigned i = 0;

  while (i < HISTOGRAM_BUCKET_COUNT - 1 && took_ms > bucket_ends[i])
    i++;
  atomic_fetch_add_explicit (&histogram->buckets[i], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_ms, took_ms,
                             memory_order_relaxed);
}

static char *
histogram_render (char *text, const histogram_t *histogram)
{
  int64_t total = 0;

  text = talloc_asprintf_append_buffer (
      text, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name,
      histogram->help, histogram->name);
  for (unsigned i = 0; i < HISTOGRAM_BUCKET_COUNT; i++)
    {
      total += atomic_load_explicit (&histogram->buckets[i],
                                     memory_order_relaxed);
      if (i == HISTOGRAM_BUCKET_COUNT - 1)
        text = talloc_asprintf_append_buffer (
            text, "%s_bucket{le=\"+Inf\"} %lld\n", histogram->name,
            (long long)total);
      else
        text = talloc_asprintf_append_buffer (
            text, "%s_bucket{le=\"%g\"} %lld\n", histogram->name,
            (double)bucket_ends[i] / ms_a_second, (long long)total);
    }
  return talloc_asprintf_append_buffer (
      text, "%s_sum %g\n%s_count %lld\n", histogram->name,
      (double)atomic_load_explicit (&histogram->sum_ms, memory_order_relaxed)
          / ms_a_second,
      histogram->name, (long long)total);
}

/* Return all histograms in the text format that metric collectors scrape, as a
   string owned by PARENT, or NULL when memory is exhausted.  */
char *
histogram_render_all (TALLOC_CTX *parent)
{
  char *text = talloc_strdup (parent, "");
  const histogram_t *histogram;

  SLIST_FOREACH (histogram, &registry, link)
    text = histogram_render (text, histogram);
  return text;
}
