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
/* Remove the work aborted at UNTIL or earlier, which is assumed to have ended,
   and add its size to RELEASED.  */
void aborted_work_remove_until (aborted_work_list_t *list,
                                struct timespec until,
                                admission_outstanding_t *released);
/* Apply a load report of the upstream, which this agent requested at
   REQUESTED_AT and which shows MAX_COUNT running requests.  At most that many
   of the requests aborted before REQUESTED_AT can still be running: remove the
   oldest ones in excess of MAX_COUNT and add their size to RELEASED.  */
void aborted_work_limit_count (aborted_work_list_t *list, uint64_t max_count,
                               struct timespec requested_at,
                               admission_outstanding_t *released);

#endif
