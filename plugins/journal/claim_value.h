#ifndef SISKIN_PLUGINS_JOURNAL_CLAIM_VALUE_H
#define SISKIN_PLUGINS_JOURNAL_CLAIM_VALUE_H

#include "plugins/journal.h"

#include <stdint.h>
#include <talloc.h>

typedef enum claim_state
{
  CLAIM_STATE_RUNNING,  /* claimed; the request may run */
  CLAIM_STATE_DONE,     /* ran; the record has its outcome */
  CLAIM_STATE_LOST,     /* may have run; nobody will learn the outcome */
  CLAIM_STATE_RELEASED, /* did not run; the key may be claimed again */
  CLAIM_STATE_COUNT
} claim_state_t;

/* What the store keeps under a key.  */
typedef struct claim_value
{
  claim_state_t state;
  const char *writer; /* unique for each attempt to claim */
  uint64_t fingerprint;
  int64_t claimed_at_ms; /* UTC, since 1970 */
  claim_record_t record; /* of CLAIM_STATE_DONE */
} claim_value_t;

char *claim_value_format (TALLOC_CTX *parent, const claim_value_t *value);
claim_value_t *claim_value_parse (TALLOC_CTX *parent, const char *text);
char *claim_path (TALLOC_CTX *parent, const claim_request_t *request);

#endif
