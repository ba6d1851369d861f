#ifndef SISKIN_COMMON_SUSPECT_TABLE_H
#define SISKIN_COMMON_SUSPECT_TABLE_H

#include "common/suspect_history.h"
#include "common/suspects.h"
#include "kernel/table.h"

/* The segments that suspects.c judges: found by their number, in lists of
   limited length, and noted for other processes when they change.  Internal to
   suspects.c and suspect_table.c; all functions but those of suspects.h need
   the lock of the table.  */

/* The lists of segments.  Each has a limit of its own, so that new segments
   push out neither shared nor suspected ones.  */
typedef enum suspect_list_kind
{
  LIST_NEW,       /* answered once */
  LIST_SHARED,    /* answered several times */
  LIST_SUSPECTED, /* with crashes */
  LIST_PROVED,    /* with a score that has reached its limit */
  LIST_COUNT
} suspect_list_kind_t;

typedef struct suspect
{
  table_node_t node;
  TAILQ_ENTRY (suspect) link; /* in the list of its kind */
  suspect_list_kind_t kind;
  TAILQ_ENTRY (suspect) update_link;
  suspect_history_t history;
  bool is_shared;  /* answered several times */
  bool is_update;  /* it is in UPDATES */
  bool is_counted; /* its quarantine, in the metrics */
} suspect_t;

TAILQ_HEAD (suspect_list, suspect);

struct suspects
{
  const clock_source_t *clock;
  table_t *table; /* by segment; its lock protects everything */
  struct suspect_list lists[LIST_COUNT]; /* least recently used first */
  unsigned counts[LIST_COUNT];
  struct suspect_list updates;
};

bool suspects_has_any (const suspects_t *suspects);
suspect_t *suspect_find (const suspects_t *suspects, uint64_t segment);
void suspect_relink (suspects_t *suspects, suspect_t *suspect);
void suspects_trim (suspects_t *suspects);
suspect_t *suspect_find_or_add (suspects_t *suspects, uint64_t segment,
                                unsigned *room);
void suspect_set_updated (suspects_t *suspects, suspect_t *suspect);

#endif
