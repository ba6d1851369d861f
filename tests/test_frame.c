/* Encoding of frames: a peer that sends truncated, oversized or random bytes
   must get an error and must not make this process read beyond them.  */

#include "common/frame.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  FUZZ_ROUNDS = 200000,
  FUZZ_SEED = 20260301,
  MUTATIONS_MAX = 6
};

static const char body[] = "{\"fitting\":1}";

/* Return a pseudo-random number below BOUND (xorshift).  */
static uint64_t
random_below (uint64_t *state, uint64_t bound)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return (*state >> 8) % bound;
}

/* Return a frame of TYPE; for types with sample data, members of the body are
   set.  */
static frame_t
sample_frame (frame_type_t type)
{
  frame_t frame = { .header = { .type = type,
                                .incarnation = 77,
                                .settings_revision = 12,
                                .confirmed_age_ms = 345,
                                .request = { 78, 9 } } };

  switch (type)
    {
    case FRAME_HELLO:
      frame.body.hello
          = (frame_hello_t){ FRAME_PROTOCOL_VERSION, 1, "style-1", "z1" };
      break;
    case FRAME_SUBMIT:
      frame.body.submit = (frame_submit_t){ .account = "salon-desk",
                                            .service = "booking",
                                            .method = "POST",
                                            .path = "/bookings",
                                            .content_type = "",
                                            .key = "k",
                                            .deadline_ms = 900,
                                            .body = { body, sizeof body } };
      break;
    case FRAME_HEAD:
      frame.body.head = (frame_head_t){ 201, "application/json" };
      break;
    case FRAME_CHUNK:
      frame.body.chunk = (frame_chunk_t){ 4096, { body, sizeof body } };
      break;
    case FRAME_END:
      frame.body.end = (frame_end_t){ OUTCOME_RAN, 4109, true, "" };
      break;
    case FRAME_REFUSE:
      frame.body.refuse = (frame_refuse_t){ REFUSAL_COLD, OUTCOME_NOT_RUN, 500,
                                            "refused at the gate" };
      break;
    case FRAME_SETTINGS:
      frame.body.settings = (frame_settings_t){ 12, { body, sizeof body } };
      break;
    default:
      break;
    }
  return frame;
}

static char *
encode (TALLOC_CTX *parent, frame_type_t type, size_t *size)
{
  frame_t frame = sample_frame (type);
  char *encoded = frame_encode (parent, &frame, size);

  assert_non_null (encoded);
  return encoded;
}

static status_t
decode (TALLOC_CTX *parent, const char *encoded, size_t size, frame_t *frame)
{
  return frame_decode (parent, encoded + FRAME_PREFIX_BYTES,
                       size - FRAME_PREFIX_BYTES, frame);
}

static void
test_every_type_round_trips (void **state)
{
  (void)state;
  for (int type = FRAME_HELLO; type < FRAME_TYPE_COUNT; type++)
    {
      TALLOC_CTX *memory = talloc_new (NULL);
      size_t size;
      char *encoded = encode (memory, (frame_type_t)type, &size);
      frame_t frame;

      assert_int_equal (decode (memory, encoded, size, &frame), STATUS_OK);
      assert_int_equal (frame.header.type, type);
      assert_int_equal (frame.header.incarnation, 77);
      assert_int_equal (frame.header.settings_revision, 12);
      assert_int_equal (frame.header.request.sequence, 9);
      talloc_free (memory);
    }
}

static void
test_submit_round_trips_members (void **state)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  size_t size;
  char *encoded = encode (memory, FRAME_SUBMIT, &size);
  frame_t frame;

  (void)state;
  assert_int_equal (decode (memory, encoded, size, &frame), STATUS_OK);
  assert_string_equal (frame.body.submit.account, "salon-desk");
  assert_string_equal (frame.body.submit.path, "/bookings");
  assert_string_equal (frame.body.submit.key, "k");
  assert_int_equal (frame.body.submit.deadline_ms, 900);
  assert_false (frame.body.submit.is_repeatable);
  assert_int_equal (frame.body.submit.body.size, sizeof body);
  assert_memory_equal (frame.body.submit.body.data, body, sizeof body);
  talloc_free (memory);
}

static void
test_truncated_frames_are_rejected (void **state)
{
  (void)state;
  for (int type = FRAME_HELLO; type < FRAME_TYPE_COUNT; type++)
    {
      TALLOC_CTX *memory = talloc_new (NULL);
      size_t size;
      char *encoded = encode (memory, (frame_type_t)type, &size);
      frame_t frame;

      for (size_t cut = FRAME_PREFIX_BYTES; cut < size; cut++)
        assert_int_equal (decode (memory, encoded, cut, &frame),
                          STATUS_PROTOCOL);
      talloc_free (memory);
    }
}

static void
test_oversized_frame_is_not_encoded (void **state)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  char *large = talloc_zero_array (memory, char, FRAME_MAX_BYTES);
  frame_t frame = { .header = { .type = FRAME_CHUNK } };
  size_t size;

  (void)state;
  frame.body.chunk.data = (blob_t){ large, FRAME_MAX_BYTES };
  assert_null (frame_encode (memory, &frame, &size));
  talloc_free (memory);
}

/* A peer closes the connection when it receives a string longer than 4096
   bytes, so such a frame must not be encoded.  */
static void
test_overlong_string_is_not_encoded (void **state)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  char *text = talloc_array (memory, char, 4098);
  frame_t frame = { .header = { .type = FRAME_HEAD } };
  size_t size;

  (void)state;
  memset (text, 'x', 4097);
  text[4097] = '\0';
  frame.body.head.content_type = text;
  assert_null (frame_encode (memory, &frame, &size));
  text[4096] = '\0';
  assert_non_null (frame_encode (memory, &frame, &size));
  talloc_free (memory);
}

/* Check that the values of a decoded frame are within their limits.  */
static void
check_limits (const frame_t *frame)
{
  assert_in_range (frame->header.type, FRAME_HELLO, FRAME_TYPE_COUNT - 1);
  if (frame->header.type == FRAME_END)
    assert_in_range (frame->body.end.outcome, 0, OUTCOME_COUNT - 1);
  if (frame->header.type == FRAME_REFUSE)
    {
      assert_in_range (frame->body.refuse.outcome, 0, OUTCOME_COUNT - 1);
      assert_in_range (frame->body.refuse.refusal, 0, REFUSAL_COUNT - 1);
    }
  if (frame->header.type == FRAME_SUBMIT)
    assert_in_range (strlen (frame->body.submit.account)
                         + strlen (frame->body.submit.path)
                         + frame->body.submit.body.size,
                     0, FRAME_MAX_BYTES);
}

/* Random changes to the bytes of a frame are either rejected or decoded to
   values within the limits, and never crash the decoder.  */
static void
test_mutated_frames_decode_within_limits (void **state)
{
  uint64_t random = FUZZ_SEED;
  unsigned accepted = 0;

  (void)state;
  for (unsigned round = 0; round < FUZZ_ROUNDS; round++)
    {
      TALLOC_CTX *memory = talloc_new (NULL);
      frame_type_t type
          = (frame_type_t)(FRAME_HELLO
                           + random_below (&random,
                                           FRAME_TYPE_COUNT - FRAME_HELLO));
      size_t size;
      char *encoded = encode (memory, type, &size);
      uint64_t mutations = 1 + random_below (&random, MUTATIONS_MAX);
      frame_t frame;

      while (mutations-- > 0)
        encoded[FRAME_PREFIX_BYTES
                + random_below (&random, size - FRAME_PREFIX_BYTES)]
            = (char)random_below (&random, 256);
      if (decode (memory, encoded, size, &frame) == STATUS_OK)
        {
          check_limits (&frame);
          accepted++;
        }
      talloc_free (memory);
    }
  assert_in_range (accepted, 1, FUZZ_ROUNDS - 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_type_round_trips),
    cmocka_unit_test (test_submit_round_trips_members),
    cmocka_unit_test (test_truncated_frames_are_rejected),
    cmocka_unit_test (test_oversized_frame_is_not_encoded),
    cmocka_unit_test (test_overlong_string_is_not_encoded),
    cmocka_unit_test (test_mutated_frames_decode_within_limits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
