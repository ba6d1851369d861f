/* Expert maps on their way from the leader of a group to its ranks: as the
   changes to a map that the pilot has, so that the leader's traffic does not
   grow with ranks times experts.  All ranks must end up with the same map.  */

#include "common/numbers.h"
#include "pilot/expert_counts.h"
#include "pilot/rank_codec.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MOVES = 40,
  MAX_BYTES_PER_MOVE = 16, /* two changed ranks */
  MAX_HEADER_BYTES = 32
};

static const placement_shape_t shape
    = { .layers = 12, .ranks = 64, .experts = 256, .slots = 5 };

typedef struct fixture
{
  map_history_t *history;
  placement_map_t *base;
  unsigned random;
} fixture_t;

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->history = map_history_create (fixture);
  fixture->base = placement_map_create_rotation (fixture, &shape);
  fixture->random = 7;
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

static unsigned
random_below (fixture_t *fixture, unsigned bound)
{
  fixture->random = fixture->random * 1103515245 + 12345;
  return (fixture->random >> 8) % bound;
}

/* Return a copy of MAP in which MOVES experts have moved or were copied.  */
static placement_map_t *
move_experts (fixture_t *fixture, const placement_map_t *map)
{
  placement_map_t *moved = placement_map_copy (fixture, map);

  for (unsigned i = 0; i < MOVES; i++)
    {
      unsigned layer = random_below (fixture, shape.layers);
      unsigned source = random_below (fixture, shape.ranks);
      unsigned target = random_below (fixture, shape.ranks);
      unsigned slot = random_below (fixture, shape.slots);
      placement_slot_t *from = placement_map_slot (moved, layer, source, slot);
      placement_slot_t *to = placement_map_slot (moved, layer, target, slot);
      placement_slot_t swapped = *from;

      if (placement_map_holds (moved, layer, target, from->expert)
          || placement_map_holds (moved, layer, source, to->expert))
        continue;
      *from = *to;
      *to = swapped;
    }
  placement_map_sort (moved);
  return moved;
}

static status_t
decode (fixture_t *fixture, blob_t map, rank_command_t *command)
{
  rank_command_t prepare = { .kind = RANK_COMMAND_PREPARE, .version = 5 };
  frame_t frame;

  rank_command_to_frame (1, &prepare, map, &frame);
  return rank_command_from_frame (fixture, &frame.body.rank_command,
                                  fixture->history, command);
}

static void
assert_same_experts (const placement_map_t *left, const placement_map_t *right)
{
  size_t slots = (size_t)shape.layers * shape.ranks * shape.slots;

  for (size_t i = 0; i < slots; i++)
    assert_int_equal (left->slots[i].expert, right->slots[i].expert);
}

/* Whether a rank gets the changes or the whole map, it has the same one, in
   the same order.  */
static void
test_changes_and_whole_map_agree (void **state)
{
  fixture_t *fixture = *state;
  const placement_map_t *base = fixture->base;

  for (unsigned i = 0; i < 20; i++)
    {
      placement_map_t *map = move_experts (fixture, base);
      blob_t changes = rank_map_encode_changes (fixture, base, map);
      rank_command_t command;

      assert_true (changes.size
                   <= MAX_HEADER_BYTES + MAX_BYTES_PER_MOVE * MOVES);
      assert_int_equal (decode (fixture, changes, &command), STATUS_OK);
      assert_same_experts (command.map, map);
      map_history_add (fixture->history, command.map);
      assert_int_equal (
          decode (fixture, rank_map_encode (fixture, map), &command),
          STATUS_OK);
      assert_same_experts (command.map, map);
      base = map;
    }
}

/* A pilot that was restarted lacks the base and says so; it must not guess.
   The first map of a group is known to every pilot.  */
static void
test_unknown_base_is_reported (void **state)
{
  fixture_t *fixture = *state;
  placement_map_t *second = move_experts (fixture, fixture->base);
  placement_map_t *third = move_experts (fixture, second);
  rank_command_t command;

  assert_int_equal (decode (fixture,
                            rank_map_encode_changes (fixture, second, third),
                            &command),
                    STATUS_NOT_FOUND);
  assert_int_equal (
      decode (fixture, rank_map_encode_changes (fixture, fixture->base, third),
              &command),
      STATUS_OK);
  assert_same_experts (command.map, third);
}

/* Maps that are received are kept until others have replaced them.  */
static void
test_history_keeps_the_last_maps (void **state)
{
  fixture_t *fixture = *state;
  placement_map_t *maps[5];

  for (unsigned i = 0; i < 5; i++)
    {
      maps[i] = move_experts (fixture, fixture->base);
      map_history_add (fixture->history, maps[i]);
    }
  assert_null (map_history_find (fixture->history, &shape,
                                 placement_map_digest (maps[0])));
  for (unsigned i = 2; i < 5; i++)
    assert_non_null (map_history_find (fixture->history, &shape,
                                       placement_map_digest (maps[i])));
}

/* A malformed map is refused, whatever part of it is wrong.  */
static void
test_malformed_maps_are_refused (void **state)
{
  fixture_t *fixture = *state;
  placement_map_t *map = move_experts (fixture, fixture->base);
  blob_t changes = rank_map_encode_changes (fixture, fixture->base, map);
  size_t count;
  uint64_t *numbers = numbers_decode (fixture, changes, &count);
  rank_command_t command;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t kept = numbers[i];

      numbers[i] = UINT64_MAX;
      assert_int_not_equal (
          decode (fixture, numbers_encode (fixture, numbers, count), &command),
          STATUS_OK);
      numbers[i] = kept;
    }
  for (size_t i = 0; i < MAX_HEADER_BYTES / 4; i++)
    {
      status_t status
          = decode (fixture, numbers_encode (fixture, numbers, i), &command);

      assert_true (status != STATUS_OK || i == 6);
    }
  changes.size /= 2;
  assert_int_equal (decode (fixture, changes, &command), STATUS_PROTOCOL);
}

/* Counts are passed on as increments; an engine that restarts counts from
   zero.  */
static void
test_counts_are_passed_on_as_increments (void **state)
{
  fixture_t *fixture = *state;
  expert_counts_t *counts = expert_counts_create (fixture);
  uint64_t numbers[3] = { 100, 0, 7 };
  rank_reply_t reply = { .numbers = numbers, .number_count = 3 };
  uint64_t *taken = expert_counts_take (counts, fixture, &reply);

  assert_int_equal (taken[0], 100);
  numbers[0] = 130;
  numbers[1] = 2;
  taken = expert_counts_take (counts, fixture, &reply);
  assert_int_equal (taken[0], 30);
  assert_int_equal (taken[1], 2);
  assert_int_equal (taken[2], 0);
  numbers[0] = 4;
  taken = expert_counts_take (counts, fixture, &reply);
  assert_int_equal (taken[0], 4);
}

/* Counts as levels: few bits each, none far from the truth, and over several
   replies nothing is lost, however rare an expert is.  */
static void
test_counts_as_levels_lose_nothing (void **state)
{
  enum
  {
    COUNT = 257, /* odd */
    REPLIES = 40
  };
  fixture_t *fixture = *state;
  expert_counts_t *counts = expert_counts_create (fixture);
  uint64_t numbers[COUNT] = { 0 };
  uint64_t sums[COUNT] = { 0 };
  uint64_t unit = 0;

  for (unsigned i = 0; i < REPLIES; i++)
    {
      rank_reply_t reply = { .numbers = numbers, .number_count = COUNT };
      size_t count = 0;
      uint8_t *levels;
      uint64_t *decoded;
      blob_t encoded;

      for (unsigned j = 0; j < COUNT; j++)
        numbers[j] += 3 + 40 * j;
      levels = expert_counts_take_levels (counts, fixture, &reply, &unit);
      encoded = rank_counts_encode (fixture, levels, COUNT);
      assert_true (encoded.size <= COUNT / 2 + 2);
      decoded = rank_counts_decode (fixture, encoded, unit, &count);
      assert_int_equal (count, COUNT);
      for (unsigned j = 0; j < COUNT; j++)
        sums[j] += decoded[j];
    }
  for (unsigned j = 0; j < COUNT; j++)
    {
      uint64_t rest = numbers[j] - sums[j];

      /* At most a unit or the rounding of a last reply.  */
      assert_true (sums[j] <= numbers[j]);
      assert_true (rest <= unit || rest <= (3 + 40 * j) / 2);
    }
}

static void
test_malformed_counts_are_refused (void **state)
{
  fixture_t *fixture = *state;
  blob_t valid = { .data = "\0\1", .size = 2 };
  blob_t empty = { .data = "", .size = 0 };
  blob_t odd = { .data = "\2\1", .size = 2 };
  size_t count = 0;

  assert_non_null (rank_counts_decode (fixture, valid, 1, &count));
  assert_int_equal (count, 2);
  assert_null (rank_counts_decode (fixture, valid, 0, &count));
  assert_null (rank_counts_decode (fixture, valid, UINT64_MAX, &count));
  assert_null (rank_counts_decode (fixture, empty, 1, &count));
  assert_null (rank_counts_decode (fixture, odd, 1, &count));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_changes_and_whole_map_agree, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_unknown_base_is_reported, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_history_keeps_the_last_maps, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_malformed_maps_are_refused, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_counts_are_passed_on_as_increments,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_counts_as_levels_lose_nothing,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_malformed_counts_are_refused, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
