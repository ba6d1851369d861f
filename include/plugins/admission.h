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

typedef struct admission_ops
{
  admission_t *(*create) (TALLOC_CTX *parent, const admission_config_t *config,
                          struct timespec now);
  void (*destroy) (admission_t *admission);
  void (*configure) (admission_t *admission, const admission_config_t *config);
  void (*limit) (const admission_t *admission, struct timespec now,
                 admission_limit_t *limit);
  void (*note_end) (admission_t *admission, const admission_sample_t *sample,
                    uint64_t outstanding_requests, struct timespec now);
  /* A sign that the upstream is in cold start: a new incarnation, a broken
     connection, or its own word.  */
  void (*note_cold) (admission_t *admission, struct timespec now,
                     const char *reason);
} admission_ops_t;

#endif
