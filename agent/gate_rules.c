#include "agent/gate_rules.h"

#include "kernel/clock.h"

enum
{
  CONFIRMED_MAX_MS = 4000,  /* a zone taken out gets no work after 5 s */
  OTHER_ZONE_MAX_MS = 2500, /* pings and their echoes take up to 2 s */
  PACE_WEIGHT = 8,          /* of the past, in the moving average */
  PACE_MAX_AGE_MS = 10000,  /* then nothing is shed on its word */
  PACE_CAUTION = 2          /* answers are often shorter than allowed */
};

/* Return whether new work must be refused because the settings in force here
   may be out of date.  While the store alone is out, processes of other zones
   are still heard and would pass on what changed; when neither is heard, this
   process is cut off and its zone may have been taken out.  Whoever is heard
   is of no use while what they have shown to be newer has not come.  */
bool
gate_is_isolated (const gate_contact_t *contact)
{
  return contact->confirmed_age_ms > CONFIRMED_MAX_MS
         && (contact->is_behind
             || (contact->knows_other_zone
                 && contact->other_zone_age_ms > OTHER_ZONE_MAX_MS));
}

static void
average_note (int64_t *average, int64_t value, bool is_first)
{
  *average = is_first ? value : *average + (value - *average) / PACE_WEIGHT;
}

/* Learn from SAMPLE how long work takes.  */
void
gate_latency_note (gate_latency_t *pace, const admission_sample_t *sample,
                   struct timespec now)
{
  struct timespec rest
      = timespec_subtract (sample->duration, sample->first_token);

  if (!sample->is_success || sample->tokens == 0)
    return;
  average_note (&pace->first_us, timespec_to_us (sample->first_token),
                !pace->is_known);
  average_note (&pace->token_us,
                timespec_to_us (rest) / (int64_t)sample->tokens,
                !pace->is_known);
  pace->is_known = true;
  pace->noted_at = now;
}

/* Return whether work of TOKENS that starts now may end by DEADLINE at the
   recent pace.  */
bool
gate_latency_allows (const gate_latency_t *pace, uint64_t tokens,
                     struct timespec deadline, struct timespec now)
{
  int64_t left_us = timespec_to_us (timespec_subtract (deadline, now));
  struct timespec age = timespec_subtract (now, pace->noted_at);
  int64_t needed_us;

  if (left_us <= 0)
    return false;
  if (!pace->is_known || timespec_to_ms (age) > PACE_MAX_AGE_MS)
    return true;
  needed_us = pace->first_us + (int64_t)tokens * pace->token_us;
  return needed_us / PACE_CAUTION <= left_us;
}
