#include "kernel/histogram.h"

#include <pthread.h>
#include <string.h>

/* Bounds of durations in ms.  The typical latency objectives and timeouts are
   among them.  */
static const int64_t duration_bounds[HISTOGRAM_BUCKET_COUNT - 1]
    = { 10, 25, 50, 100, 150, 250, 400, 600, 1000, 1500, 2500, 5000, 10000 };

/* Bounds of ratios in thousandths, from a tenth to ten.  */
static const int64_t ratio_bounds[HISTOGRAM_BUCKET_COUNT - 1] = {
  100, 200, 330, 500, 670, 800, 1000, 1250, 1500, 2000, 3000, 5000, 10000
};

static const double values_per_unit = 1000.0;
static const double max_ratio = 1e6;

SLIST_HEAD (histogram_list, histogram);

static struct histogram_list registry = SLIST_HEAD_INITIALIZER (registry);
/* Protects the registry.  No other lock is acquired under it.  */
static pthread_mutex_t registry_mutex = PTHREAD_MUTEX_INITIALIZER;

/* Add HISTOGRAM to the registry, which is sorted by name.  */
void
histogram_register (histogram_t *histogram)
{
  histogram_t *entry;
  histogram_t *previous = NULL;

  pthread_mutex_lock (&registry_mutex);
  SLIST_FOREACH (entry, &registry, link)
    {
      if (strcmp (entry->name, histogram->name) > 0)
        break;
      previous = entry;
    }
  if (previous == NULL)
    SLIST_INSERT_HEAD (&registry, histogram, link);
  else
    SLIST_INSERT_AFTER (previous, histogram, link);
  pthread_mutex_unlock (&registry_mutex);
}

static int
histogram_free (histogram_t *histogram)
{
  pthread_mutex_lock (&registry_mutex);
  SLIST_REMOVE (&registry, histogram, histogram, link);
  pthread_mutex_unlock (&registry_mutex);
  return 0;
}

/* Return VALUE as a label value, owned by PARENT.  */
static char *
label_value (TALLOC_CTX *parent, const char *value)
{
  char *text = talloc_strdup (parent, value);

  for (char *next = text; next != NULL && *next != '\0'; next++)
    {
      if (*next == '"' || *next == '\\' || *next == '\n')
        *next = '_';
    }
  return text;
}

/* Create a histogram of ratios that belongs to the metric family NAME and has
   the LABEL with VALUE.  It is registered until it is freed.  NAME and HELP
   are not copied.  Returns NULL when memory is exhausted.  */
histogram_t *
histogram_create_ratio (TALLOC_CTX *parent, const char *name,
                        const char *label, const char *value, const char *help)
{
  histogram_t *histogram = talloc_zero (parent, histogram_t);

  if (histogram == NULL)
    return NULL;
  histogram->name = name;
  histogram->help = help;
  histogram->bounds = ratio_bounds;
  histogram->labels = talloc_asprintf (histogram, "%s=\"%s\"", label,
                                       label_value (histogram, value));
  histogram_register (histogram);
  talloc_set_destructor (histogram, histogram_free);
  return histogram;
}

static const int64_t *
histogram_bounds (const histogram_t *histogram)
{
  return histogram->bounds == NULL ? duration_bounds : histogram->bounds;
}

/* Count VALUE, in thousandths of the unit.  */
void
histogram_record (histogram_t *histogram, int64_t value)
{
  const int64_t *bounds = histogram_bounds (histogram);
  unsigned i = 0;

  while (i < HISTOGRAM_BUCKET_COUNT - 1 && value > bounds[i])
    i++;
  atomic_fetch_add_explicit (&histogram->buckets[i], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum, value, memory_order_relaxed);
}

/* Count RATIO, which is not negative.  */
void
histogram_record_ratio (histogram_t *histogram, double ratio)
{
  if (ratio > max_ratio)
    ratio = max_ratio;
  histogram_record (histogram, (int64_t)(ratio * values_per_unit));
}

/* Append the lines of HISTOGRAM to TEXT, and return the result.  */
static char *
histogram_render (char *text, const histogram_t *histogram)
{
  const int64_t *bounds = histogram_bounds (histogram);
  const char *labels = histogram->labels == NULL ? "" : histogram->labels;
  const char *comma = histogram->labels == NULL ? "" : ",";
  int64_t total = 0;

  for (unsigned i = 0; i < HISTOGRAM_BUCKET_COUNT; i++)
    {
      total += atomic_load_explicit (&histogram->buckets[i],
                                     memory_order_relaxed);
      if (i == HISTOGRAM_BUCKET_COUNT - 1)
        text = talloc_asprintf_append_buffer (
            text, "%s_bucket{%s%sle=\"+Inf\"} %lld\n", histogram->name, labels,
            comma, (long long)total);
      else
        text = talloc_asprintf_append_buffer (
            text, "%s_bucket{%s%sle=\"%g\"} %lld\n", histogram->name, labels,
            comma, (double)bounds[i] / values_per_unit, (long long)total);
    }
  return talloc_asprintf_append_buffer (
      text, "%s_sum%s%s%s %g\n%s_count%s%s%s %lld\n", histogram->name,
      *labels == '\0' ? "" : "{", labels, *labels == '\0' ? "" : "}",
      (double)atomic_load_explicit (&histogram->sum, memory_order_relaxed)
          / values_per_unit,
      histogram->name, *labels == '\0' ? "" : "{", labels,
      *labels == '\0' ? "" : "}", (long long)total);
}

/* Return all histograms in the Prometheus text format, as a string owned by
   PARENT, or NULL when memory is exhausted.  */
char *
histogram_render_all (TALLOC_CTX *parent)
{
  char *text = talloc_strdup (parent, "");
  const char *family = "";
  const histogram_t *histogram;

  pthread_mutex_lock (&registry_mutex);
  SLIST_FOREACH (histogram, &registry, link)
    {
      if (strcmp (family, histogram->name) != 0)
        text = talloc_asprintf_append_buffer (
            text, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name,
            histogram->help, histogram->name);
      family = histogram->name;
      text = histogram_render (text, histogram);
    }
  pthread_mutex_unlock (&registry_mutex);
  return text;
}
