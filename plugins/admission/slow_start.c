#include "kernel/clock.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "plugins/admission.h"

enum
{
  SCALE_ONE = 1000, /* the scale is in thousandths of the floor */
  GROWTH_DIVISOR = 2,
  THRESHOLD_DIVISOR = 2,
  NEAR_DIVISOR = 2, /* near the limit: at least half of it */
  GOOD_DIVISOR = 2  /* good pace: within half of the slow first token */
};

COUNTER_DEFINE (falls_total, "siskin_admission_falls_total",
                "Falls of the limit to what a cold upstream bears");
COUNTER_DEFINE (growths_total, "siskin_admission_growths_total",
                "Steps by which the limit grew");

/* The limits are the floor, what an upstream in cold start bears, times
   SCALE.  */
struct admission
{
  admission_config_t config;
  uint64_t scale;
  uint64_t threshold; /* growth is by steps above, by ratio below */
  uint64_t evidence;  /* good answers near the limit since it changed */
  struct timespec changed_at;
  bool is_held; /* the upstream says that it is cold */
};

static uint64_t
lesser (uint64_t left, uint64_t right)
{
  return left < right ? left : right;
}

static uint64_t
scale_maximum (const admission_config_t *config)
{
  uint64_t requests
      = config->maximum_requests * SCALE_ONE / config->cold_requests;
  uint64_t tokens = config->maximum_tokens * SCALE_ONE / config->cold_tokens;
  uint64_t larger = requests > tokens ? requests : tokens;

  return larger < SCALE_ONE ? SCALE_ONE : larger;
}

static void
slow_start_fall (admission_t *admission, struct timespec now)
{
  admission->threshold = admission->scale / THRESHOLD_DIVISOR;
  admission->scale = SCALE_ONE;
  admission->evidence = 0;
  admission->changed_at = now;
}

static admission_t *
slow_start_create (TALLOC_CTX *parent, const admission_config_t *config,
                   struct timespec now)
{
  admission_t *admission = talloc_zero (parent, admission_t);

  if (admission == NULL)
    return NULL;
  admission->config = *config;
  admission->scale = SCALE_ONE;
  admission->threshold = scale_maximum (config);
  admission->changed_at = now;
  return admission;
}

static void
slow_start_destroy (admission_t *admission)
{
  talloc_free (admission);
}

static void
slow_start_configure (admission_t *admission, const admission_config_t *config)
{
  admission->config = *config;
  admission->scale = lesser (admission->scale, scale_maximum (config));
}

static void
slow_start_limit (const admission_t *admission, struct timespec now,
                  admission_limit_t *limit)
{
  const admission_config_t *config = &admission->config;

  (void)now;
  limit->requests
      = lesser (config->maximum_requests,
                config->cold_requests * admission->scale / SCALE_ONE);
  limit->tokens = lesser (config->maximum_tokens,
                          config->cold_tokens * admission->scale / SCALE_ONE);
  limit->is_cold = admission->is_held
                   || (admission->scale == SCALE_ONE
                       && scale_maximum (config) > SCALE_ONE);
}

static void
slow_start_note_cold (admission_t *admission, struct timespec now,
                      const char *reason)
{
  if (admission->scale > SCALE_ONE)
    {
      counter_add (&falls_total, 1);
      log_event (LOG_LEVEL_NOTICE, "limit-fell", "reason=%s from_scale=%llu",
                 reason, (unsigned long long)admission->scale);
    }
  slow_start_fall (admission, now);
}

/* Return whether SAMPLE shows that the upstream bears the present limit: a
   good answer to work that started under it and came near to it.  */
static bool
sample_is_evidence (const admission_t *admission,
                    const admission_sample_t *sample,
                    const admission_outstanding_t *outstanding,
                    struct timespec now)
{
  admission_limit_t limit;
  int64_t good_us
      = timespec_to_us (admission->config.slow_first_token) / GOOD_DIVISOR;

  slow_start_limit (admission, now, &limit);
  return sample->is_success && !admission->is_held
         && timespec_to_us (sample->first_token) <= good_us
         && timespec_compare (timespec_subtract (now, sample->duration),
                              admission->changed_at)
                >= 0
         && (outstanding->requests * NEAR_DIVISOR >= limit.requests
             || outstanding->tokens * NEAR_DIVISOR >= limit.tokens);
}

static void
slow_start_grow (admission_t *admission, struct timespec now)
{
  uint64_t one_request = SCALE_ONE / admission->config.cold_requests;
  uint64_t step = admission->scale < admission->threshold
                      ? admission->scale / GROWTH_DIVISOR
                      : one_request;

  admission->scale = lesser (admission->scale + (step > 0 ? step : 1),
                             scale_maximum (&admission->config));
  admission->evidence = 0;
  admission->changed_at = now;
  counter_add (&growths_total, 1);
}

static void
slow_start_note_end (admission_t *admission, const admission_sample_t *sample,
                     const admission_outstanding_t *outstanding,
                     struct timespec now)
{
  admission_limit_t limit;

  if (timespec_compare (sample->first_token,
                        admission->config.slow_first_token)
      > 0)
    {
      slow_start_note_cold (admission, now, "slow-first-token");
      return;
    }
  if (!sample_is_evidence (admission, sample, outstanding, now))
    return;
  slow_start_limit (admission, now, &limit);
  admission->evidence++;
  if (admission->evidence >= limit.requests
      && admission->scale < scale_maximum (&admission->config))
    slow_start_grow (admission, now);
}

static void
slow_start_note_report (admission_t *admission,
                        const admission_report_t *report, struct timespec now)
{
  admission->is_held = report->is_cold;
  if (report->is_cold)
    slow_start_note_cold (admission, now, "reported-cold");
}

static const admission_ops_t slow_start_ops = {
  .create = slow_start_create,
  .destroy = slow_start_destroy,
  .configure = slow_start_configure,
  .limit = slow_start_limit,
  .note_end = slow_start_note_end,
  .note_cold = slow_start_note_cold,
  .note_report = slow_start_note_report,
};

PLUGIN_REGISTER (slow_start, PLUGIN_ADMISSION, "slow-start",
                 "grows on evidence from what a cold upstream bears",
                 &slow_start_ops);
