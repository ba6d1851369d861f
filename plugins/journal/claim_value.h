#ifndef SISKIN_PLUGINS_JOURNAL_CLAIM_VALUE_H
#define SISKIN_PLUGINS_JOURNAL_CLAIM_VALUE_H

#include "plugins/journal.h"

#include <stdint.h>
#include <talloc.h>

/* State of a claimed key.  The stored name is given if it differs.  */
typedef enum claim_state
{
  CLAIM_STATE_RUNNING,  /* claimed; the request may be running */
  CLAIM_STATE_FINISHED, /* "done": the request ran; its outcome is recorded */
  CLAIM_STATE_UNKNOWN,  /* "lost": it may have run; the outcome is unknown */
  CLAIM_STATE_RELEASED, /* it did not run; the key may be claimed again */
  CLAIM_STATE_COUNT
} claim_state_t;

/* The stored value of a claimed key.  */
typedef struct claim_value
{
  claim_state_t state;
  const char *claim_attempt_id; /* identifies the attempt to claim the key */
  uint64_t fingerprint;  /* hash of the request's method, path and body */
  int64_t claimed_at_ms; /* Unix time */
  claim_record_t record; /* of the outcome, for CLAIM_STATE_FINISHED */
} claim_value_t;

char *claim_value_format (TALLOC_CTX *parent, const claim_value_t *value);
claim_value_t *claim_value_parse (TALLOC_CTX *parent, const char *text);
char *claim_path (TALLOC_CTX *parent, const claim_request_t *request);

#endif
