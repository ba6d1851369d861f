#ifndef SISKIN_AGENT_BROKEN_OFF_H
#define SISKIN_AGENT_BROKEN_OFF_H

#include "plugins/admission.h"

#include <sys/queue.h>

/* Work that was broken off on this side and that the upstream may still have;
   oldest first.  */
typedef struct broken_off
{
  STAILQ_ENTRY (broken_off) link;
  uint64_t tokens;
  struct timespec at;
} aborted_work_t;

typedef struct aborted_work_list
{
  STAILQ_HEAD (, broken_off) items;
  uint64_t count;
} aborted_work_list_t;

void aborted_work_add (aborted_work_list_t *list, TALLOC_CTX *parent,
                       uint64_t tokens, struct timespec at);
void aborted_work_remove_until (aborted_work_list_t *list,
                                struct timespec until,
                                admission_outstanding_t *gone);
void aborted_work_limit_count (aborted_work_list_t *list, uint64_t most,
                               struct timespec asked_at,
                               admission_outstanding_t *gone);

#endif
