#include "agent/gate_rules.h"

#include "kernel/clock.h"

enum
{
  /* Low enough that, with all other delays added, a zone that was taken out of
     service gets no new work after 5 seconds.  */
  SETTINGS_CONFIRMED_MAX_AGE_MS = 4000,
  OTHER_ZONE_MAX_AGE_MS = 2500, /* a ping and its echo take up to 2 s */
  LATENCY_SAMPLE_DIVISOR = 8,   /* its inverse is the weight of a new sample */
  LATENCY_MAX_AGE_MS = 10000, /* older averages are not used to refuse work */
  /* Predictions are divided by this, since responses are often shorter than
     the token limit allows.  */
  LATENCY_SAFETY_DIVISOR = 2
};

/* Return whether new work must be refused because the settings of this process
   may be outdated.  If only the store is down, processes of other zones can
   still be reached and would pass on changes.  If neither can be reached, this
   process is partitioned from the others and its zone may have been taken out.
   Contact with other processes does not help while they have announced newer
   settings that have not arrived.  */
bool
gate_is_isolated (const gate_contact_t *contact)
{
  return contact->confirmed_age_ms > SETTINGS_CONFIRMED_MAX_AGE_MS
         && (contact->is_behind
             || (contact->has_other_zones
                 && contact->other_zone_age_ms > OTHER_ZONE_MAX_AGE_MS));
}

static void
average_update (int64_t *average, int64_t value, bool is_first)
{
  *average = is_first ? value
                      : *average + (value - *average) / LATENCY_SAMPLE_DIVISOR;
}

/* Update the averages with SAMPLE.  */
void
gate_latency_record (gate_latency_t *latency, const admission_sample_t *sample,
                     struct timespec now)
{
  struct timespec rest
      = timespec_subtract (sample->duration, sample->first_token);

  if (!sample->is_success || sample->tokens == 0)
    return;
  average_update (&latency->first_byte_us,
                  timespec_to_us (sample->first_token), !latency->is_known);
  average_update (&latency->token_us,
                  timespec_to_us (rest) / (int64_t)sample->tokens,
                  !latency->is_known);
  latency->is_known = true;
  latency->updated_at = now;
}

/* Return whether work of TOKENS that starts now can end by DEADLINE at the
   recent latency.  Allows everything while no recent latency is known.  */
bool
gate_latency_allows (const gate_latency_t *latency, uint64_t tokens,
                     struct timespec deadline, struct timespec now)
{
  int64_t left_us = timespec_to_us (timespec_subtract (deadline, now));
  struct timespec age = timespec_subtract (now, latency->updated_at);
  int64_t needed_us;

  if (left_us <= 0)
    return false;
  if (!latency->is_known || timespec_to_ms (age) > LATENCY_MAX_AGE_MS)
    return true;
  needed_us = latency->first_byte_us + (int64_t)tokens * latency->token_us;
  return needed_us / LATENCY_SAFETY_DIVISOR <= left_us;
}
