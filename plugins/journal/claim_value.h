#ifndef SISKIN_PLUGINS_JOURNAL_CLAIM_VALUE_H
#define SISKIN_PLUGINS_JOURNAL_CLAIM_VALUE_H

#include "plugins/journal.h"

#include <stdint.h>
#include <talloc.h>

typedef enum claim_state
{
  CLAIM_STATE_RUNNING,  /* claimed; the request may be running */
  CLAIM_STATE_FINISHED, /* the request ran; the record has its outcome */
  CLAIM_STATE_UNKNOWN,  /* may have run; its outcome will never be known */
  CLAIM_STATE_RELEASED, /* did not run; the key may be claimed again */
  CLAIM_STATE_COUNT
} claim_state_t;

/* The stored value of a claimed key.  */
typedef struct claim_value
{
  claim_state_t state;
  const char *writer;    /* unique for each attempt to claim */
  uint64_t fingerprint;  /* hash of the request */
  int64_t claimed_at_ms; /* Unix time */
  claim_record_t record; /* for CLAIM_STATE_FINISHED */
} claim_value_t;

char *claim_value_format (TALLOC_CTX *parent, const claim_value_t *value);
claim_value_t *claim_value_parse (TALLOC_CTX *parent, const char *text);
char *claim_path (TALLOC_CTX *parent, const claim_request_t *request);

#endif
