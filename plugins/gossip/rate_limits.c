#include "plugins/gossip.h"

#include "common/rate_limits.h"
#include "kernel/plugin.h"

static uint64_t
age_to_frame (int64_t age_ms)
{
  if (age_ms < 0)
    return 0;
  return age_ms > INT32_MAX ? INT32_MAX : (uint64_t)age_ms;
}

static void
rate_limit_to_frame (const rate_limit_record_t *record, frame_t *frame)
{
  *frame = (frame_t){
    .header.type = FRAME_RATE_LIMIT,
    .body.rate_limit = { .upstream = record->upstream,
                         .is_limited = record->is_limited,
                         .limit_permille = record->limit,
                         .seen_age_ms = age_to_frame (record->seen_age_ms),
                         .since_age_ms = age_to_frame (record->since_age_ms) },
  };
}

static bool
rate_limits_gossip_take_update (void *table, TALLOC_CTX *parent,
                                frame_t *frame)
{
  rate_limit_record_t record;

  (void)parent;
  if (!rate_limits_take_update (table, &record))
    return false;
  rate_limit_to_frame (&record, frame);
  frame->body.rate_limit.is_update = true;
  return true;
}

static bool
rate_limits_gossip_merge (void *table, TALLOC_CTX *parent, frame_t *frame)
{
  const frame_rate_limit_t *body = &frame->body.rate_limit;
  rate_limit_record_t record = {
    .upstream = body->upstream,
    .is_limited = body->is_limited,
    .limit = body->limit_permille,
    .seen_age_ms = (int64_t)body->seen_age_ms,
    .since_age_ms = (int64_t)body->since_age_ms,
  };

  (void)parent;
  return rate_limits_merge (table, &record) && body->is_update;
}

static frame_t *
rate_limits_gossip_list (void *table, TALLOC_CTX *parent, unsigned *count)
{
  rate_limit_record_t *records = rate_limits_list (parent, table, count);
  frame_t *frames = talloc_array (parent, frame_t, *count);

  if (frames == NULL)
    *count = 0;
  for (unsigned i = 0; i < *count; i++)
    rate_limit_to_frame (&records[i], &frames[i]);
  return frames;
}

static void *
rate_limits_gossip_create (TALLOC_CTX *parent, const clock_source_t *clock)
{
  return rate_limits_create (parent, clock);
}

static const gossip_topic_ops_t rate_limits_gossip_ops = {
  .type = FRAME_RATE_LIMIT,
  .create = rate_limits_gossip_create,
  .take_update = rate_limits_gossip_take_update,
  .merge = rate_limits_gossip_merge,
  .list = rate_limits_gossip_list,
};

PLUGIN_REGISTER (rate_limits_gossip, PLUGIN_GOSSIP, GOSSIP_RATE_LIMITS,
                 "rate limits that upstreams have named",
                 &rate_limits_gossip_ops);
