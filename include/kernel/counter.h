#ifndef SISKIN_KERNEL_COUNTER_H
#define SISKIN_KERNEL_COUNTER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

/* A metric counter or gauge.  Updates are atomic and take no lock.  */
typedef struct counter
{
  SLIST_ENTRY (counter) link;
  const char *name;
  const char *labels; /* text between the braces, or NULL for none */
  const char *help;
  bool is_gauge;
  atomic_int_fast64_t value;
} counter_t;

void counter_register (counter_t *counter);
void counter_add (counter_t *counter, int64_t amount);
void counter_set (counter_t *counter, int64_t value);
int64_t counter_value (const counter_t *counter);
char *counter_render_all (TALLOC_CTX *parent);

/* Common part of the macros below.  The final declaration makes the semicolon
   after the macro valid.  */
#define COUNTER_DEFINE_FULL(symbol, metric, label_text, text, gauge)          \
  static counter_t symbol = { .name = (metric),                               \
                              .labels = (label_text),                         \
                              .help = (text),                                 \
                              .is_gauge = (gauge) };                          \
  __attribute__ ((constructor)) static void symbol##_register (void)          \
  {                                                                           \
    counter_register (&symbol);                                               \
  }                                                                           \
  struct counter

/* Define a counter that registers itself before main starts.  */
#define COUNTER_DEFINE(symbol, metric, text)                                  \
  COUNTER_DEFINE_FULL (symbol, metric, NULL, text, false)

/* Define a counter that belongs to the metric family METRIC and has a fixed
   set of labels.  */
#define COUNTER_DEFINE_LABELLED(symbol, metric, label_text, text)             \
  COUNTER_DEFINE_FULL (symbol, metric, label_text, text, false)

/* Define a gauge that registers itself before main starts.  */
#define GAUGE_DEFINE(symbol, metric, text)                                    \
  COUNTER_DEFINE_FULL (symbol, metric, NULL, text, true)

#endif
