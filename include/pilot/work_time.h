#ifndef SISKIN_PILOT_WORK_TIME_H
#define SISKIN_PILOT_WORK_TIME_H

#include "kernel/clock.h"

/* The time that a leader spends on each kind of its work.  The ranks of its
   group wait meanwhile, so what counts is the time in a row as well as the
   sum.  Belongs to one worker.  */
typedef struct work_time work_time_t;

typedef enum work_kind
{
  WORK_PLANNING,
  WORK_ENCODING, /* the map of a switch */
  WORK_COMMANDS, /* sending commands to ranks */
  WORK_REPORTS,
  WORK_VERDICTS,
  WORK_COUNTS, /* replies with the counts of experts */
  WORK_KIND_COUNT
} work_kind_t;

/* CLOCK must outlive the result.  */
work_time_t *work_time_create (TALLOC_CTX *parent,
                               const clock_source_t *clock);
void work_time_destroy (work_time_t *work);
/* Forgets everything, as another switch starts.  */
void work_time_reset (work_time_t *work);
/* Work of KIND starts.  Work in the middle of other work counts as that.  */
void work_time_begin (work_time_t *work, work_kind_t kind);
/* The work that started last ends.  */
void work_time_end (work_time_t *work);
/* Returns "work=NAME:TOTAL/LONGEST,..." of the kinds that took time, in
   milliseconds, owned by PARENT.  */
char *work_time_format (const work_time_t *work, TALLOC_CTX *parent);

#endif
