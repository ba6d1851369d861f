#include "agent/group.h"

static status_t
schedule_from_numbers (uint64_t phase, uint64_t base, uint64_t next,
                       uint64_t step, group_schedule_t *schedule)
{
  if (phase > GROUP_COMMITTED)
    return status_set (STATUS_PROTOCOL, "no such phase of a map switch");
  *schedule = (group_schedule_t){
    .phase = (group_phase_t)phase, .base = base, .next = next, .step = step
  };
  return STATUS_OK;
}

static bool
kind_is_known (uint64_t kind)
{
  return kind >= GROUP_RAISE_FENCE && kind < GROUP_COMMAND_KIND_COUNT;
}

/* Fill FRAME with ORDER; the maps are the caller's to add.  */
void
group_command_to_frame (const group_t *group, const group_command_t *order,
                        frame_map_command_t *frame)
{
  *frame = (frame_map_command_t){ .kind = order->kind,
                                  .group = group->name,
                                  .rank = order->rank,
                                  .incarnation = order->incarnation,
                                  .epoch = order->fence.epoch,
                                  .round = order->fence.round,
                                  .phase = order->schedule.phase,
                                  .base = order->schedule.base,
                                  .next = order->schedule.next,
                                  .step = order->schedule.step };
}

/* Read ORDER from FRAME.  Returns STATUS_PROTOCOL for one outside the
   protocol.  */
status_t
group_command_from_frame (const frame_map_command_t *frame,
                          group_command_t *order)
{
  if (!kind_is_known (frame->kind) || frame->rank >= PLACEMENT_MAX_RANKS)
    return status_set (STATUS_PROTOCOL, "no such order of a map switch");
  order->kind = (group_command_kind_t)frame->kind;
  order->rank = (unsigned)frame->rank;
  order->incarnation = frame->incarnation;
  order->fence = (group_fence_t){ frame->epoch, frame->round };
  return schedule_from_numbers (frame->phase, frame->base, frame->next,
                                frame->step, &order->schedule);
}

/* Fill FRAME with REPLY; the maps are the caller's to add.  */
void
group_reply_to_frame (const group_t *group, const group_reply_t *reply,
                      frame_map_reply_t *frame)
{
  *frame = (frame_map_reply_t){ .kind = reply->kind,
                                .group = group->name,
                                .rank = reply->rank,
                                .incarnation = reply->incarnation,
                                .epoch = reply->command_fence.epoch,
                                .round = reply->command_fence.round,
                                .highest_fence_epoch = reply->promised.epoch,
                                .highest_fence_round = reply->promised.round,
                                .is_accepted = reply->is_accepted,
                                .phase = reply->schedule.phase,
                                .base = reply->schedule.base,
                                .next = reply->schedule.next,
                                .step = reply->schedule.step,
                                .current_step = reply->current_step };
}

/* Read REPLY from FRAME.  Returns STATUS_PROTOCOL for one outside the
   protocol.  */
status_t
group_reply_from_frame (const frame_map_reply_t *frame, group_reply_t *reply)
{
  if (!kind_is_known (frame->kind) || frame->rank >= PLACEMENT_MAX_RANKS)
    return status_set (STATUS_PROTOCOL, "no such reply of a map switch");
  reply->kind = (group_command_kind_t)frame->kind;
  reply->rank = (unsigned)frame->rank;
  reply->incarnation = frame->incarnation;
  reply->command_fence = (group_fence_t){ frame->epoch, frame->round };
  reply->promised = (group_fence_t){ frame->highest_fence_epoch,
                                     frame->highest_fence_round };
  reply->is_accepted = frame->is_accepted;
  reply->current_step = frame->current_step;
  return schedule_from_numbers (frame->phase, frame->base, frame->next,
                                frame->step, &reply->schedule);
}
