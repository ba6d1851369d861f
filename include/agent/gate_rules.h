#ifndef SISKIN_AGENT_GATE_RULES_H
#define SISKIN_AGENT_GATE_RULES_H

#include "plugins/admission.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* How recently this process could verify that its settings are current.  */
typedef struct gate_contact
{
  /* Since the settings were last confirmed by the store.  */
  uint64_t confirmed_age_ms;
  bool has_other_zones;       /* there are processes in other zones */
  uint64_t other_zone_age_ms; /* since the last message from one of them */
  bool is_behind; /* newer settings exist that have not arrived here */
} gate_contact_t;

bool gate_is_isolated (const gate_contact_t *contact);

/* Recent latency of the upstream, used to predict how long work takes.  */
typedef struct gate_latency
{
  int64_t first_byte_us; /* moving average of the time to the first byte */
  int64_t token_us;      /* moving average of the time per token after that */
  bool is_known;
  struct timespec updated_at;
} gate_latency_t;

void gate_latency_record (gate_latency_t *latency,
                          const admission_sample_t *sample,
                          struct timespec now);
bool gate_latency_allows (const gate_latency_t *latency, uint64_t tokens,
                          struct timespec deadline, struct timespec now);

#endif
