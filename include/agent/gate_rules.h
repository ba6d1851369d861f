#ifndef SISKIN_AGENT_GATE_RULES_H
#define SISKIN_AGENT_GATE_RULES_H

#include "plugins/admission.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* How recently this process heard that its settings are in force.  */
typedef struct gate_contact
{
  uint64_t confirmed_age_ms;  /* since the settings were seen in the store */
  bool knows_other_zone;      /* processes of other zones exist */
  uint64_t other_zone_age_ms; /* since one of them was heard */
  bool is_behind;             /* newer settings exist and have not come */
} gate_contact_t;

bool gate_is_isolated (const gate_contact_t *contact);

/* How long recent work took.  */
typedef struct gate_latency
{
  int64_t first_us; /* moving average, to the first byte */
  int64_t token_us; /* moving average, for each token after that */
  bool is_known;
  struct timespec noted_at;
} gate_latency_t;

void gate_latency_note (gate_latency_t *pace, const admission_sample_t *sample,
                        struct timespec now);
bool gate_latency_allows (const gate_latency_t *pace, uint64_t tokens,
                          struct timespec deadline, struct timespec now);

#endif
