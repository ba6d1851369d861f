#include "common/outcome.h"

static const char *const outcome_names[OUTCOME_COUNT] = {
  [OUTCOME_NOT_RUN] = "not-run",
  [OUTCOME_RAN] = "ran",
  [OUTCOME_UNKNOWN] = "unknown",
};

static const char *const refusal_names[REFUSAL_COUNT] = {
  [REFUSAL_NONE] = "none",
  [REFUSAL_OVERLOAD] = "overload",
  [REFUSAL_COLD] = "cold",
  [REFUSAL_LEAVING] = "leaving",
  [REFUSAL_ZONE_OUT] = "zone-out",
  [REFUSAL_DEADLINE] = "deadline",
  [REFUSAL_ISOLATED] = "isolated",
  [REFUSAL_STORE] = "store",
  [REFUSAL_KEY_EXPIRED] = "key-expired",
  [REFUSAL_KEY_REUSED] = "key-reused",
  [REFUSAL_UPSTREAM] = "upstream",
  [REFUSAL_CANCELLED] = "cancelled",
  [REFUSAL_INVALID] = "invalid",
};

/* Return the name of OUTCOME, as used in responses to clients and in logs.  */
const char *
outcome_name (outcome_t outcome)
{
  return outcome_names[outcome];
}

/* Return the name of REFUSAL, as used in responses to clients and in logs.  */
const char *
refusal_name (refusal_t refusal)
{
  return refusal_names[refusal];
}
