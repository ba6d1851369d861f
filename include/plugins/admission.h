#ifndef SISKIN_PLUGINS_ADMISSION_H
#define SISKIN_PLUGINS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* Admission policy: limits how much work one upstream may have in progress at
   a time.  It is called with the gate's lock held and must not block.

   An upstream is in cold start after it has started, until it can handle its
   normal load.  record_cold_start and record_report tell the policy of it; a
   policy with a variable limit also assumes it when it is created.  How the
   limit grows from the cold-start limit to the maximum, and so when the cold
   start ends, is up to the policy.  */
typedef struct admission admission_t;

typedef struct admission_config
{
  uint64_t cold_requests; /* limit for an upstream in cold start */
  uint64_t cold_tokens;   /* likewise, in tokens */
  uint64_t maximum_requests;
  uint64_t maximum_tokens;
  /* If the first token takes longer, the upstream is assumed to be in cold
     start.  */
  struct timespec slow_first_token;
} admission_config_t;

/* Work that the upstream may have in progress at a time.  */
typedef struct admission_limit
{
  uint64_t requests;
  uint64_t tokens;
  bool is_cold; /* the limit is that of a cold start */
} admission_limit_t;

/* Result of one request on the upstream.  */
typedef struct admission_sample
{
  uint64_t tokens;             /* size of the request */
  struct timespec first_token; /* from the start to the first byte */
  struct timespec duration;    /* from the start to the end */
  bool is_success;
} admission_sample_t;

/* Amount of work in progress on the upstream.  */
typedef struct admission_outstanding
{
  uint64_t requests;
  uint64_t tokens;
} admission_outstanding_t;

/* Status reported by the upstream itself, not by an agent (pick_report_t); the
   part of upstream_report_t that matters here.  Reports arrive with a delay,
   so they may lower the limit or keep it from growing, but never raise it.  */
typedef struct admission_report
{
  bool is_cold;
  bool has_running; /* RUNNING was reported */
  uint64_t running; /* requests in progress on the upstream */
} admission_report_t;

typedef struct admission_ops
{
  admission_t *(*create) (TALLOC_CTX *parent, const admission_config_t *config,
                          struct timespec now);
  void (*destroy) (admission_t *admission);
  void (*configure) (admission_t *admission, const admission_config_t *config);
  /* Set LIMIT to the current limit.  */
  void (*limit) (const admission_t *admission, struct timespec now,
                 admission_limit_t *limit);
  /* Handle the end of a request on the upstream.  OUTSTANDING is the work that
     was in progress just before, including that request.  */
  void (*record_end) (admission_t *admission, const admission_sample_t *sample,
                      const admission_outstanding_t *outstanding,
                      struct timespec now);
  /* Handle a sign that the upstream is in cold start: a new incarnation, a
     broken connection or a slow first token.  REASON is for the log.  */
  void (*record_cold_start) (admission_t *admission, struct timespec now,
                             const char *reason);
  /* Handle a status report of the upstream.  */
  void (*record_report) (admission_t *admission,
                         const admission_report_t *report,
                         struct timespec now);
} admission_ops_t;

#endif
