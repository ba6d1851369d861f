#include "kernel/counter.h"

#include <stddef.h>
#include <string.h>

SLIST_HEAD (counter_list, counter);

static struct counter_list registry = SLIST_HEAD_INITIALIZER (registry);

/* Order by name, then by labels.  */
static int
counter_compare (const counter_t *left, const counter_t *right)
{
  int order = strcmp (left->name, right->name);

  if (order != 0)
    return order;
  return strcmp (left->labels == NULL ? "" : left->labels,
                 right->labels == NULL ? "" : right->labels);
}

/* Add COUNTER to the registry, which is sorted by name and labels.  Called by
   constructors, before main.  */
void
counter_register (counter_t *counter)
{
  counter_t *entry;
  counter_t *previous = NULL;

  SLIST_FOREACH (entry, &registry, link)
    {
      if (counter_compare (entry, counter) > 0)
        break;
      previous = entry;
    }
  if (previous == NULL)
    SLIST_INSERT_HEAD (&registry, counter, link);
  else
    SLIST_INSERT_AFTER (previous, counter, link);
}

/* Add AMOUNT, which may be negative, to COUNTER.  */
void
counter_add (counter_t *counter, int64_t amount)
{
  atomic_fetch_add_explicit (&counter->value, amount, memory_order_relaxed);
}

/* Set a gauge to VALUE.  */
void
counter_set (counter_t *counter, int64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

/* Return the current value of COUNTER.  */
int64_t
counter_value (const counter_t *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

/* Return all counters in the Prometheus text format, as a string owned by
   PARENT, or NULL when memory is exhausted.  */
char *
counter_render_all (TALLOC_CTX *parent)
{
  char *text = talloc_strdup (parent, "");
  const char *family = "";
  const counter_t *counter;

  SLIST_FOREACH (counter, &registry, link)
    {
      if (strcmp (family, counter->name) != 0)
        {
          family = counter->name;
          text = talloc_asprintf_append_buffer (
              text, "# HELP %s %s\n# TYPE %s %s\n", counter->name,
              counter->help, counter->name,
              counter->is_gauge ? "gauge" : "counter");
        }
      text = talloc_asprintf_append_buffer (
          text, "%s%s%s%s %lld\n", counter->name,
          counter->labels == NULL ? "" : "{",
          counter->labels == NULL ? "" : counter->labels,
          counter->labels == NULL ? "" : "}",
          (long long)counter_value (counter));
    }
  return text;
}
