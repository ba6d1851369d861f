#ifndef SISKIN_AGENT_CLAIM_KEY_H
#define SISKIN_AGENT_CLAIM_KEY_H

#include "common/outcome.h"

#include <stdbool.h>
#include <talloc.h>
#include <time.h>

typedef enum claim_key_verdict
{
  CLAIM_KEY_USABLE,
  CLAIM_KEY_MALFORMED, /* too long, or its UTC time of issue is missing */
  /* Issued so long ago that an earlier claim on it may have been deleted,
     which would let the request run twice; or issued in the future.  */
  CLAIM_KEY_EXPIRED
} claim_key_verdict_t;

/* What claim_key_check requires of the key of one request.  */
typedef struct claim_key_rules
{
  bool requires_time;        /* keys must begin with their UTC time of issue */
  struct timespec retention; /* how long claims are kept */
  /* Time from now until the deadline of the request.  The key may be claimed
     until then, so an earlier claim on it must be kept at least as long.  */
  struct timespec time_to_deadline;
} claim_key_rules_t;

claim_key_verdict_t claim_key_check (const char *key,
                                     const claim_key_rules_t *rules,
                                     struct timespec realtime);
char *claim_key_generate (TALLOC_CTX *parent, const request_id_t *id);

#endif
