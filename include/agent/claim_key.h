#ifndef SISKIN_AGENT_CLAIM_KEY_H
#define SISKIN_AGENT_CLAIM_KEY_H

#include "common/outcome.h"

#include <stdbool.h>
#include <talloc.h>
#include <time.h>

typedef enum claim_key_verdict
{
  CLAIM_KEY_USABLE,
  CLAIM_KEY_MALFORMED, /* too long, or without its time of issue */
  CLAIM_KEY_EXPIRED    /* a claim under it may have lapsed */
} claim_key_verdict_t;

typedef struct claim_key_rules
{
  bool requires_time;
  struct timespec retention; /* of claims */
  struct timespec patience;  /* until the request's deadline */
} claim_key_rules_t;

claim_key_verdict_t claim_key_check (const char *key,
                                     const claim_key_rules_t *rules,
                                     struct timespec realtime);
char *claim_key_generate (TALLOC_CTX *parent, const request_id_t *id);

#endif
