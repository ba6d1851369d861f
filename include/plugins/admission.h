#ifndef SISKIN_PLUGINS_ADMISSION_H
#define SISKIN_PLUGINS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* How much work an upstream may have at once.  A policy is called with the
   gate's lock held and must not block.  */
typedef struct admission admission_t;

typedef struct admission_config
{
  uint64_t cold_requests; /* what an upstream in cold start bears */
  uint64_t cold_tokens;
  uint64_t maximum_requests;
  uint64_t maximum_tokens;
  struct timespec slow_first_token;
} admission_config_t;

typedef struct admission_limit
{
  uint64_t requests;
  uint64_t tokens;
  bool is_cold;
} admission_limit_t;

/* How one piece of work ended on the upstream.  */
typedef struct admission_sample
{
  uint64_t tokens;             /* the work's size */
  struct timespec first_token; /* from start to the first byte */
  struct timespec duration;
  bool is_success;
} admission_sample_t;

/* What the upstream had when the work ended, that work included.  */
typedef struct admission_outstanding
{
  uint64_t requests;
  uint64_t tokens;
} admission_outstanding_t;

/* The upstream's own word.  It lags, so it may lower the limit or keep it from
   growing, and never raises it.  */
typedef struct admission_report
{
  bool is_cold;
  bool has_running;
  uint64_t running; /* requests that it has */
} admission_report_t;

typedef struct admission_ops
{
  admission_t *(*create) (TALLOC_CTX *parent, const admission_config_t *config,
                          struct timespec now);
  void (*destroy) (admission_t *admission);
  void (*configure) (admission_t *admission, const admission_config_t *config);
  void (*limit) (const admission_t *admission, struct timespec now,
                 admission_limit_t *limit);
  void (*note_end) (admission_t *admission, const admission_sample_t *sample,
                    const admission_outstanding_t *outstanding,
                    struct timespec now);
  /* A sign that the upstream is in cold start: a new incarnation, a broken
     connection, or a slow first token.  */
  void (*note_cold) (admission_t *admission, struct timespec now,
                     const char *reason);
  void (*note_report) (admission_t *admission,
                       const admission_report_t *report, struct timespec now);
} admission_ops_t;

#endif
