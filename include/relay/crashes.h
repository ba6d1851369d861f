#ifndef SISKIN_RELAY_CRASHES_H
#define SISKIN_RELAY_CRASHES_H

#include "common/suspects.h"

/* Attempts that ended without a whole answer because their upstream broke the
   connection.  If it turns out that the upstream has crashed, the segments of
   these attempts are suspected of it; a connection alone that breaks says
   nothing, and an upstream that is seen alive afterwards has not crashed.
   Callable from every worker.  */
typedef struct crashes crashes_t;

/* An attempt that the upstream broke off.  */
typedef struct crash_attempt
{
  const char *request;  /* id, for the log */
  const char *upstream; /* id */
  const char *address;  /* of the upstream */
  const uint64_t *segments;
  unsigned segment_count;
  /* If the upstream has crashed.  Its incarnation identifies the crash; the
     time is that at which the connection broke.  */
  crash_evidence_t evidence;
} crash_attempt_t;

crashes_t *crashes_create (TALLOC_CTX *parent, const clock_source_t *clock,
                           suspects_t *suspects);
void crashes_destroy (crashes_t *crashes);
/* Each returns whether SUSPECTS has an update for the other processes.  */
bool crashes_record_attempt (crashes_t *crashes,
                             const crash_attempt_t *attempt);
/* The process at ADDRESS has ended.  */
bool crashes_confirm_address (crashes_t *crashes, const char *address);
bool crashes_confirm_gone (crashes_t *crashes, const char *upstream);
bool crashes_confirm_start (crashes_t *crashes, const char *address,
                            uint64_t incarnation);
/* The upstream at ADDRESS was alive at some time since its connections broke
   at the monotonic time SINCE or before.  */
void crashes_refute (crashes_t *crashes, const char *address,
                     struct timespec since);

#endif
