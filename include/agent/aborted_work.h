#ifndef SISKIN_AGENT_ABORTED_WORK_H
#define SISKIN_AGENT_ABORTED_WORK_H

#include "plugins/admission.h"

#include <sys/queue.h>

/* A request that this agent aborted but that the upstream may still be
   processing.  It counts towards the admission limit until the upstream's
   reports or its age show that it has ended.  */
typedef struct aborted_work
{
  STAILQ_ENTRY (aborted_work) link;
  uint64_t tokens;
  struct timespec aborted_at;
} aborted_work_t;

typedef struct aborted_work_list
{
  STAILQ_HEAD (, aborted_work) items; /* oldest first */
  uint64_t count;
} aborted_work_list_t;

void aborted_work_add (aborted_work_list_t *list, TALLOC_CTX *parent,
                       uint64_t tokens, struct timespec aborted_at);
/* The following functions remove work that has ended and add its size to
   RELEASED: work aborted at UNTIL or earlier; or the oldest work aborted
   before REQUESTED_AT in excess of MAX_COUNT.  */
void aborted_work_remove_until (aborted_work_list_t *list,
                                struct timespec until,
                                admission_outstanding_t *released);
void aborted_work_limit_count (aborted_work_list_t *list, uint64_t max_count,
                               struct timespec requested_at,
                               admission_outstanding_t *released);

#endif
