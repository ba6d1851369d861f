#ifndef SISKIN_PLUGINS_PICK_H
#define SISKIN_PLUGINS_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* Load-balancing policy: chooses the upstream for a request.  It is called
   with the lock on the entry's upstreams held and must not block.  */
typedef struct pick pick_t;

enum
{
  PICK_MAX_PREFIX_BLOCKS = 64
};

/* The properties of a request that a policy may use.  */
typedef struct pick_request
{
  uint64_t key_hash;      /* hash of the idempotency key, or 0 */
  uint64_t prompt_tokens; /* estimate */
  uint64_t output_tokens; /* estimate of the maximum */
  /* One hash for each 256-byte block at the start of the prompt.  Each is
     chained with the hash before it, so equal hashes at an index mean that the
     prompts are equal up to the end of that block.  */
  const uint64_t *prefix_blocks;
  size_t prefix_block_count; /* at most PICK_MAX_PREFIX_BLOCKS */
  const char *zone;          /* zone of this entry */
  /* Time that an upstream spends on the request alone, the part of it until
     the prompt is read, and the mean of what is left of an outstanding
     request; estimates, 0 if unknown.  */
  uint64_t work_us;
  uint64_t read_us;
  uint64_t mean_work_us;
  double mean_passes; /* of the upstream, in which such a request is done */
  unsigned entries;   /* that choose among the same upstreams; 0 if unknown */
} pick_request_t;

/* The latest load report on the upstream.  In an entry it comes from the
   upstream's agent and has the agent's own counts and admission limit; the
   upstream's own report (upstream_report_t) goes only to the agent.  In a
   relay it is the engine's report, passed on by the pilot.  */
typedef struct pick_report
{
  bool is_known;      /* a report has been received */
  struct timespec at; /* monotonic time of receipt */
  uint64_t outstanding_requests;
  uint64_t outstanding_tokens;
  uint64_t limit_requests;
  uint64_t limit_tokens;
  uint64_t queued_requests;
  bool is_cold;
  /* Tokens of the upstream's KV cache that are in use, and all of them; 0 if
     unknown.  */
  uint64_t used_cache_tokens;
  uint64_t total_cache_tokens;
  double slowdown; /* 1 is normal, higher is slower; 0 if unknown */
} pick_report_t;

/* An upstream that is eligible for the request.  */
typedef struct pick_candidate
{
  const char *name;
  uint64_t name_hash;
  const char *zone;
  /* Requests that this entry has sent to the upstream and that have not ended,
     and their tokens.  */
  uint64_t outstanding_requests;
  uint64_t outstanding_tokens;
  uint64_t outstanding_work_us; /* work that is left of them */
  uint64_t outstanding_read_us; /* part of it until their prompts are read */
  /* How much longer reading takes than this, because the upstream generates
     for others meanwhile; 0 if unknown.  */
  double read_stretch;
  uint64_t requests_at_report; /* outstanding_requests when REPORT arrived */
  uint64_t tokens_at_report;   /* outstanding_tokens when REPORT arrived */
  pick_report_t report;
} pick_candidate_t;

typedef struct pick_choice
{
  size_t index;       /* into the candidates */
  const char *reason; /* static string for the log */
} pick_choice_t;

typedef struct pick_ops
{
  pick_t *(*create) (TALLOC_CTX *parent, uint64_t seed);
  void (*destroy) (pick_t *pick);
  /* Choose one of the COUNT candidates; COUNT is at least 1.  */
  void (*choose) (pick_t *pick, const pick_request_t *request,
                  const pick_candidate_t *const *candidates, size_t count,
                  struct timespec now, pick_choice_t *choice);
  /* Return a copy of PICK that is owned by PARENT and will choose as PICK
     would, so that a choice can be foretold, or NULL when memory is exhausted.
     It is freed with PARENT.  NULL if the policy has no cheap copy.  */
  pick_t *(*copy) (TALLOC_CTX *parent, const pick_t *pick);
  /* Handle a change of the prompt cache of the upstream NAME_HASH: BLOCKS
     were sent to it or reported as stored (IS_STORED), or were reported as
     evicted.  May be NULL.  */
  void (*record_blocks) (pick_t *pick, uint64_t name_hash,
                         const uint64_t *blocks, size_t count, bool is_stored);
  /* Handle a restart of the upstream NAME_HASH, which empties its cache.  May
     be NULL.  */
  void (*record_restart) (pick_t *pick, uint64_t name_hash);
  /* An entry normally connects only to a subset of the upstreams of a service,
     and these are its candidates.  If this is set, it connects to all of them,
     since all entries must be able to choose the same upstream.  */
  bool needs_all_upstreams;
} pick_ops_t;

#endif
