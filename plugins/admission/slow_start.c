#include "kernel/clock.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "plugins/admission.h"

enum
{
  SCALE_UNIT = 1000, /* scale_permille at which the cold-start limits apply */
  /* Below the threshold an increase adds half of the limit.  */
  INCREASE_DIVISOR = 2,
  /* A reset sets the threshold to half of the limit before it.  */
  THRESHOLD_DIVISOR = 2,
  /* The limit only increases while at least half of it is in use.  */
  NEAR_LIMIT_DIVISOR = 2,
  /* A first token is good if it takes at most half of slow_first_token.  */
  GOOD_FIRST_TOKEN_DIVISOR = 2
};

COUNTER_DEFINE (resets_total, "siskin_admission_falls_total",
                "Falls of the limit to what a cold upstream bears");
COUNTER_DEFINE (increases_total, "siskin_admission_growths_total",
                "Steps by which the limit grew");

/* The limits are the cold-start limits times SCALE_PERMILLE / 1000.  As in TCP
   slow start, they grow by a ratio up to a threshold and in steps of one
   request beyond it.  */
struct admission
{
  admission_config_t config;
  uint64_t scale_permille;
  uint64_t slow_start_threshold; /* a value of scale_permille */
  uint64_t good_samples; /* number since the last change of the limit */
  struct timespec changed_at;
  bool is_reported_cold; /* the upstream reports that it is cold */
};

static uint64_t
min_u64 (uint64_t left, uint64_t right)
{
  return left < right ? left : right;
}

/* Return DIVIDEND / DIVISOR rounded up: the limits are rounded down, so that
   with a scale that is rounded down too they would fall short.  */
static uint64_t
divide_up (uint64_t dividend, uint64_t divisor)
{
  return (dividend + divisor - 1) / divisor;
}

/* Return the scale at which both configured maximums are reached.  */
static uint64_t
max_scale_permille (const admission_config_t *config)
{
  uint64_t requests = divide_up (config->maximum_requests * SCALE_UNIT,
                                 config->cold_requests);
  uint64_t tokens
      = divide_up (config->maximum_tokens * SCALE_UNIT, config->cold_tokens);
  uint64_t larger = requests > tokens ? requests : tokens;

  return larger < SCALE_UNIT ? SCALE_UNIT : larger;
}

/* Reduce the limit to its cold-start value.  */
static void
slow_start_reset (admission_t *admission, struct timespec now)
{
  admission->slow_start_threshold
      = admission->scale_permille / THRESHOLD_DIVISOR;
  admission->scale_permille = SCALE_UNIT;
  admission->good_samples = 0;
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
  admission->scale_permille = SCALE_UNIT;
  admission->slow_start_threshold = max_scale_permille (config);
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
  admission->scale_permille
      = min_u64 (admission->scale_permille, max_scale_permille (config));
}

static void
slow_start_limit (const admission_t *admission, struct timespec now,
                  admission_limit_t *limit)
{
  const admission_config_t *config = &admission->config;

  (void)now;
  limit->requests = min_u64 (config->maximum_requests,
                             config->cold_requests * admission->scale_permille
                                 / SCALE_UNIT);
  limit->tokens
      = min_u64 (config->maximum_tokens,
                 config->cold_tokens * admission->scale_permille / SCALE_UNIT);
  limit->is_cold = admission->is_reported_cold
                   || (admission->scale_permille == SCALE_UNIT
                       && max_scale_permille (config) > SCALE_UNIT);
}

/* Handle a sign of cold start: reduce the limit.  */
static void
slow_start_record_cold_start (admission_t *admission, struct timespec now,
                              const char *reason)
{
  if (admission->scale_permille > SCALE_UNIT)
    {
      counter_add (&resets_total, 1);
      log_event (LOG_LEVEL_NOTICE, "admission-limit-reset",
                 "reason=%s previous_scale_permille=%llu", reason,
                 (unsigned long long)admission->scale_permille);
    }
  slow_start_reset (admission, now);
}

/* Return whether SAMPLE shows that the upstream can sustain the current limit:
   a success with a fast first token, of a request that started after the last
   change of the limit and ended with at least half of the limit in use.  */
static bool
sample_supports_increase (const admission_t *admission,
                          const admission_sample_t *sample,
                          const admission_outstanding_t *outstanding,
                          struct timespec now)
{
  admission_limit_t limit;
  int64_t max_good_us = timespec_to_us (admission->config.slow_first_token)
                        / GOOD_FIRST_TOKEN_DIVISOR;

  slow_start_limit (admission, now, &limit);
  return sample->is_success && !admission->is_reported_cold
         && timespec_to_us (sample->first_token) <= max_good_us
         && timespec_compare (timespec_subtract (now, sample->duration),
                              admission->changed_at)
                >= 0
         && (outstanding->requests * NEAR_LIMIT_DIVISOR >= limit.requests
             || outstanding->tokens * NEAR_LIMIT_DIVISOR >= limit.tokens);
}

/* Raise the limit: by half below the threshold, else by one request.  */
static void
slow_start_increase (admission_t *admission, struct timespec now)
{
  uint64_t one_request
      = divide_up (SCALE_UNIT, admission->config.cold_requests);
  uint64_t step = admission->scale_permille < admission->slow_start_threshold
                      ? admission->scale_permille / INCREASE_DIVISOR
                      : one_request;

  admission->scale_permille
      = min_u64 (admission->scale_permille + (step > 0 ? step : 1),
                 max_scale_permille (&admission->config));
  admission->good_samples = 0;
  admission->changed_at = now;
  counter_add (&increases_total, 1);
}

/* Handle the end of a request: a slow first token resets the limit, and as
   many good samples as the limit allows requests raise it.  */
static void
slow_start_record_end (admission_t *admission,
                       const admission_sample_t *sample,
                       const admission_outstanding_t *outstanding,
                       struct timespec now)
{
  admission_limit_t limit;

  if (timespec_compare (sample->first_token,
                        admission->config.slow_first_token)
      > 0)
    {
      slow_start_record_cold_start (admission, now, "slow-first-token");
      return;
    }
  if (!sample_supports_increase (admission, sample, outstanding, now))
    return;
  slow_start_limit (admission, now, &limit);
  admission->good_samples++;
  if (admission->good_samples >= limit.requests
      && admission->scale_permille < max_scale_permille (&admission->config))
    slow_start_increase (admission, now);
}

/* Handle a report of the upstream: while it reports a cold start, the limit
   stays at its cold-start value.  */
static void
slow_start_record_report (admission_t *admission,
                          const admission_report_t *report,
                          struct timespec now)
{
  admission->is_reported_cold = report->is_cold;
  if (report->is_cold)
    slow_start_record_cold_start (admission, now, "reported-cold");
}

static const admission_ops_t slow_start_ops = {
  .create = slow_start_create,
  .destroy = slow_start_destroy,
  .configure = slow_start_configure,
  .limit = slow_start_limit,
  .record_end = slow_start_record_end,
  .record_cold_start = slow_start_record_cold_start,
  .record_report = slow_start_record_report,
};

PLUGIN_REGISTER (slow_start, PLUGIN_ADMISSION, "slow-start",
                 "raises the cold-start limit while the upstream sustains it",
                 &slow_start_ops);
