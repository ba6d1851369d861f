#ifndef SISKIN_PLUGINS_PICK_H
#define SISKIN_PLUGINS_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* The choice of an upstream for one request.  A policy is called with the
   entry's lock on its upstreams held and must not block.  */
typedef struct pick pick_t;

enum
{
  PICK_MAX_PREFIX_BLOCKS = 64
};

/* What a policy may know of the request.  */
typedef struct pick_request
{
  uint64_t key_hash; /* of the idempotency key, 0 for none */
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  const uint64_t *prefix_blocks; /* chained hashes of the prompt's blocks */
  size_t prefix_block_count;
  const char *zone; /* of the entry */
} pick_request_t;

/* The agent's last report.  */
typedef struct pick_report
{
  bool is_known;
  struct timespec at; /* receipt, monotonic */
  uint64_t outstanding_requests;
  uint64_t outstanding_tokens;
  uint64_t limit_requests;
  uint64_t limit_tokens;
  uint64_t queued_requests;
  bool is_cold;
} pick_report_t;

/* An upstream that may get the request.  */
typedef struct pick_candidate
{
  const char *name;
  uint64_t name_hash;
  const char *zone;
  uint64_t outstanding_requests; /* sent by this entry and not ended */
  uint64_t outstanding_tokens;
  uint64_t requests_at_report; /* what the two were when REPORT came */
  uint64_t tokens_at_report;
  pick_report_t report;
} pick_candidate_t;

typedef struct pick_choice
{
  size_t index;
  const char *reason; /* a constant, for the log */
} pick_choice_t;

typedef struct pick_ops
{
  pick_t *(*create) (TALLOC_CTX *parent, uint64_t seed);
  void (*destroy) (pick_t *pick);
  /* COUNT is at least 1.  */
  void (*choose) (pick_t *pick, const pick_request_t *work,
                  const pick_candidate_t *const *candidates, size_t count,
                  struct timespec now, pick_choice_t *choice);
  /* A request with these blocks was sent to, or its blocks were reported
     stored (or evicted) by, the upstream NAME_HASH.  May be NULL.  */
  void (*note_blocks) (pick_t *pick, uint64_t name_hash,
                       const uint64_t *blocks, size_t count, bool is_stored);
  /* The upstream NAME_HASH lost its cache.  May be NULL.  */
  void (*note_restart) (pick_t *pick, uint64_t name_hash);
  /* All entries must be able to reach the same upstream, so that a subset of
     them will not do.  */
  bool needs_all_upstreams;
} pick_ops_t;

#endif
