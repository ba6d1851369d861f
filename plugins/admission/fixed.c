#include "kernel/plugin.h"
#include "plugins/admission.h"

/* The limit is the configured maximum at all times.  */
struct admission
{
  admission_config_t config;
};

static admission_t *
fixed_create (TALLOC_CTX *parent, const admission_config_t *config,
              struct timespec now)
{
  admission_t *admission = talloc_zero (parent, admission_t);

  (void)now;
  if (admission != NULL)
    admission->config = *config;
  return admission;
}

static void
fixed_destroy (admission_t *admission)
{
  talloc_free (admission);
}

static void
fixed_configure (admission_t *admission, const admission_config_t *config)
{
  admission->config = *config;
}

static void
fixed_limit (const admission_t *admission, struct timespec now,
             admission_limit_t *limit)
{
  (void)now;
  limit->requests = admission->config.maximum_requests;
  limit->tokens = admission->config.maximum_tokens;
  limit->is_cold = false;
}

static void
fixed_record_end (admission_t *admission, const admission_sample_t *sample,
                  const admission_outstanding_t *outstanding,
                  struct timespec now)
{
  (void)admission;
  (void)sample;
  (void)outstanding;
  (void)now;
}

static void
fixed_record_cold_start (admission_t *admission, struct timespec now,
                         const char *reason)
{
  (void)admission;
  (void)now;
  (void)reason;
}

static void
fixed_record_report (admission_t *admission, const admission_report_t *report,
                     struct timespec now)
{
  (void)admission;
  (void)report;
  (void)now;
}

static const admission_ops_t fixed_ops = {
  .create = fixed_create,
  .destroy = fixed_destroy,
  .configure = fixed_configure,
  .limit = fixed_limit,
  .record_end = fixed_record_end,
  .record_cold_start = fixed_record_cold_start,
  .record_report = fixed_record_report,
};

PLUGIN_REGISTER (fixed, PLUGIN_ADMISSION, "fixed",
                 "always the maximum, even in cold start; a baseline",
                 &fixed_ops);
