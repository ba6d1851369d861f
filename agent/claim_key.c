#include "agent/claim_key.h"

#include <ctype.h>
#include <string.h>

enum
{
  KEY_MAX_BYTES = 256,
  KEY_TIME_BYTES = 17, /* YYYYMMDDTHHMMSSZ- */
  CLOCK_SKEW_S = 60 /* largest difference between the clocks of two machines */
};

/* Parse the UTC time at the start of KEY, for example "20260301T120000Z-".  */
static bool
key_time (const char *key, time_t *seconds)
{
  static const char pattern[] = "ddddddddTddddddZ-";
  struct tm fields = { 0 };
  const char *end;

  for (unsigned i = 0; i < KEY_TIME_BYTES; i++)
    {
      if (pattern[i] == 'd' ? !isdigit ((unsigned char)key[i])
                            : key[i] != pattern[i])
        return false;
    }
  end = strptime (key, "%Y%m%dT%H%M%SZ-", &fields);
  if (end != key + KEY_TIME_BYTES)
    return false;
  *seconds = timegm (&fields);
  return true;
}

/* Decide whether a request with KEY may be claimed at REALTIME.  A claim is
   kept for the retention time after it was made, which is no earlier than the
   key's time of issue minus the clock skew.  The request of an older key may
   have run and its claim may have been deleted, so the key is rejected.  */
claim_key_verdict_t
claim_key_check (const char *key, const claim_key_rules_t *rules,
                 struct timespec realtime)
{
  time_t issued;
  time_t margin = CLOCK_SKEW_S + rules->time_to_deadline.tv_sec + 1;

  if (strlen (key) > KEY_MAX_BYTES)
    return CLAIM_KEY_MALFORMED;
  if (!rules->requires_time)
    return CLAIM_KEY_USABLE;
  if (!key_time (key, &issued))
    return CLAIM_KEY_MALFORMED;
  if (issued > realtime.tv_sec + CLOCK_SKEW_S
      || issued < realtime.tv_sec - rules->retention.tv_sec + margin)
    return CLAIM_KEY_EXPIRED;
  return CLAIM_KEY_USABLE;
}

/* Generate a key for a request without one.  It is unique to the request, so
   no retry of the request has the same key.  */
char *
claim_key_generate (TALLOC_CTX *parent, const request_id_t *id)
{
  return talloc_asprintf (parent, "request-%016llx-%llu",
                          (unsigned long long)id->incarnation,
                          (unsigned long long)id->sequence);
}
