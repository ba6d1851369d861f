/* Responses of model engines: JSON of any shape must not crash the decoding,
   and a report must fit into a frame.  */

#include "pilot/rank_codec.h"
#include "platform/rank_engine_json.h"
#include "tests/fuzz/fuzz.h"

static void
check_reply (const rank_reply_t *reply)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < reply->number_count; i++)
    sum += reply->numbers[i];
  FUZZ_CHECK (reply->number_count > 0 || sum == 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  json_t *json = json_loadb ((const char *)bytes, size, 0, NULL);
  TALLOC_CTX *memory = talloc_new (NULL);
  rank_report_t report;
  rank_reply_t reply;
  frame_t frame;

  rank_engine_json_report (json, &report);
  rank_report_to_frame (&report, "upstream", 0, &frame);
  FUZZ_CHECK (rank_engine_json_counts (memory, json, &reply) == STATUS_OK);
  check_reply (&reply);
  FUZZ_CHECK (rank_engine_json_experts (memory, json, &reply) == STATUS_OK);
  check_reply (&reply);
  talloc_free (memory);
  json_decref (json);
  return 0;
}
