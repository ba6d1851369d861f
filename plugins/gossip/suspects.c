#include "plugins/gossip.h"

#include "common/numbers.h"
#include "common/suspects.h"
#include "kernel/plugin.h"

enum
{
  NUMBERS_PER_CRASH = 4,
  MAX_NUMBERS = SUSPECT_MAX_CRASHES * NUMBERS_PER_CRASH,
  /* Bits of the last number of a crash.  */
  FLAG_REFUTED = 1,
  FLAG_REPEAT = 2
};

static uint64_t
age_to_frame (int64_t age_ms)
{
  return age_ms < 0 ? UINT64_MAX : (uint64_t)age_ms;
}

static int64_t
age_from_frame (uint64_t age_ms)
{
  return age_ms > INT32_MAX ? SUSPECT_NEVER : (int64_t)age_ms;
}

static uint64_t
crash_flags (const suspect_crash_t *crash)
{
  return (crash->is_refuted ? FLAG_REFUTED : 0)
         | (crash->is_repeat ? FLAG_REPEAT : 0);
}

/* Set *FRAME to RECORD.  Its data is owned by PARENT.  */
static void
suspect_to_frame (TALLOC_CTX *parent, const suspect_record_t *record,
                  frame_t *frame)
{
  uint64_t numbers[MAX_NUMBERS];
  size_t count = 0;

  for (unsigned i = 0; i < record->crash_count; i++)
    {
      numbers[count++] = record->crashes[i].id;
      numbers[count++] = age_to_frame (record->crashes[i].age_ms);
      numbers[count++] = record->crashes[i].progress;
      numbers[count++] = crash_flags (&record->crashes[i]);
    }
  *frame = (frame_t){
    .header.type = FRAME_SUSPECT,
    .body.suspect
    = { .segment = record->segment,
        .answered_age_ms = age_to_frame (record->answered_age_ms),
        .probe_age_ms = age_to_frame (record->probe_age_ms),
        .crashes = numbers_encode (parent, numbers, count) },
  };
}

/* Return PROGRESS of a frame, which may have any value, as one that can be
   counted with.  */
static uint64_t
progress_from_frame (uint64_t progress)
{
  return progress > UINT32_MAX ? UINT32_MAX : progress;
}

/* Set *RECORD from BODY.  Returns STATUS_PROTOCOL if it is malformed.  */
static status_t
suspect_from_frame (const frame_suspect_t *body, suspect_record_t *record)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  size_t count = 0;
  uint64_t *numbers = numbers_decode (scratch, body->crashes, &count);

  *record = (suspect_record_t){
    .segment = body->segment,
    .answered_age_ms = age_from_frame (body->answered_age_ms),
    .probe_age_ms = age_from_frame (body->probe_age_ms),
    .crash_count = (unsigned)(count / NUMBERS_PER_CRASH),
  };
  if (numbers == NULL || count % NUMBERS_PER_CRASH != 0 || count > MAX_NUMBERS)
    {
      talloc_free (scratch);
      return status_set (STATUS_PROTOCOL, "suspect frame: malformed crashes");
    }
  for (unsigned i = 0; i < record->crash_count; i++)
    {
      const uint64_t *fields = &numbers[(size_t)i * NUMBERS_PER_CRASH];

      record->crashes[i]
          = (suspect_crash_t){ .id = fields[0],
                               .age_ms = age_from_frame (fields[1]),
                               .progress = progress_from_frame (fields[2]),
                               .is_repeat = (fields[3] & FLAG_REPEAT) != 0,
                               .is_refuted = (fields[3] & FLAG_REFUTED) != 0 };
    }
  talloc_free (scratch);
  return STATUS_OK;
}

static bool
suspects_gossip_take_update (void *table, TALLOC_CTX *parent, frame_t *frame)
{
  suspect_record_t record;

  if (!suspects_take_update (table, &record))
    return false;
  suspect_to_frame (parent, &record, frame);
  frame->body.suspect.is_update = true;
  return true;
}

static bool
suspects_gossip_merge (void *table, TALLOC_CTX *parent, frame_t *frame)
{
  bool is_update = frame->body.suspect.is_update;
  suspect_record_t record;

  if (suspect_from_frame (&frame->body.suspect, &record) != STATUS_OK
      || !suspects_merge (table, &record))
    return false;
  suspect_to_frame (parent, &record, frame);
  frame->body.suspect.is_update = is_update;
  return is_update;
}

static frame_t *
suspects_gossip_list (void *table, TALLOC_CTX *parent, unsigned *count)
{
  suspect_record_t *records = suspects_list (parent, table, count);
  frame_t *frames = talloc_array (parent, frame_t, *count);

  if (frames == NULL)
    *count = 0;
  for (unsigned i = 0; i < *count; i++)
    suspect_to_frame (parent, &records[i], &frames[i]);
  return frames;
}

static void *
suspects_gossip_create (TALLOC_CTX *parent, const clock_source_t *clock)
{
  return suspects_create (parent, clock);
}

static const gossip_topic_ops_t suspects_gossip_ops = {
  .type = FRAME_SUSPECT,
  .create = suspects_gossip_create,
  .take_update = suspects_gossip_take_update,
  .merge = suspects_gossip_merge,
  .list = suspects_gossip_list,
};

PLUGIN_REGISTER (suspects_gossip, PLUGIN_GOSSIP, GOSSIP_SUSPECTS,
                 "prompt segments suspected of crashes", &suspects_gossip_ops);
