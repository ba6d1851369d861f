#ifndef SISKIN_AGENT_GATE_RULES_H
#define SISKIN_AGENT_GATE_RULES_H

#include "plugins/admission.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* How recently this process could verify that its settings are current.  */
typedef struct gate_contact
{
  /* Time since the settings were last confirmed to be the newest in the
     store.  */
  uint64_t confirmed_age_ms;
  bool has_other_zones; /* there are processes in other zones */
  /* Time since the last message from a process in another zone.  */
  uint64_t other_zone_age_ms;
  bool is_behind; /* newer settings exist that have not arrived here */
} gate_contact_t;

/* Return whether the settings of this process may be outdated, in which case
   the gate refuses new work: they were not confirmed recently, and in addition
   either newer ones have been announced, or there are other zones but no
   process in them has been heard from recently.  */
bool gate_is_isolated (const gate_contact_t *contact);

/* Recent latency of the upstream, used to predict how long work takes.  */
typedef struct gate_latency
{
  int64_t first_byte_us; /* moving average of the time to the first byte */
  int64_t token_us;      /* moving average of the time per token after that */
  bool is_known;         /* at least one sample was recorded */
  struct timespec updated_at;
} gate_latency_t;

void gate_latency_record (gate_latency_t *latency,
                          const admission_sample_t *sample,
                          struct timespec now);
bool gate_latency_allows (const gate_latency_t *latency, uint64_t tokens,
                          struct timespec deadline, struct timespec now);

#endif
