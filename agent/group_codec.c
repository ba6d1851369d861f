#include "agent/group.h"

static status_t
schedule_from_numbers (uint64_t phase, uint64_t base, uint64_t next,
                       uint64_t step, group_schedule_t *schedule)
{
  if (phase > GROUP_COMMITTED)
    return status_set (STATUS_PROTOCOL, "invalid map switch phase");
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

/* Fill FRAME from COMMAND.  The caller adds the maps.  */
void
group_command_to_frame (const group_t *group, const group_command_t *command,
                        frame_map_command_t *frame)
{
  *frame = (frame_map_command_t){ .kind = command->kind,
                                  .group = group->name,
                                  .rank = command->rank,
                                  .incarnation = command->incarnation,
                                  .fence_epoch = command->fence.epoch,
                                  .fence_round = command->fence.round,
                                  .phase = command->schedule.phase,
                                  .base_version = command->schedule.base,
                                  .next_version = command->schedule.next,
                                  .switch_step = command->schedule.step };
}

/* Parse COMMAND from FRAME.  Returns STATUS_PROTOCOL if the frame is
   malformed.  */
status_t
group_command_from_frame (const frame_map_command_t *frame,
                          group_command_t *command)
{
  if (!kind_is_known (frame->kind) || frame->rank >= PLACEMENT_MAX_RANKS)
    return status_set (STATUS_PROTOCOL, "invalid map switch command");
  command->kind = (group_command_kind_t)frame->kind;
  command->rank = (unsigned)frame->rank;
  command->incarnation = frame->incarnation;
  command->fence = (group_fence_t){ frame->fence_epoch, frame->fence_round };
  return schedule_from_numbers (frame->phase, frame->base_version,
                                frame->next_version, frame->switch_step,
                                &command->schedule);
}

/* Fill FRAME from REPLY.  The caller adds the maps.  */
void
group_reply_to_frame (const group_t *group, const group_reply_t *reply,
                      frame_map_reply_t *frame)
{
  *frame
      = (frame_map_reply_t){ .kind = reply->kind,
                             .group = group->name,
                             .rank = reply->rank,
                             .incarnation = reply->incarnation,
                             .command_fence_epoch = reply->command_fence.epoch,
                             .command_fence_round = reply->command_fence.round,
                             .highest_fence_epoch = reply->highest_fence.epoch,
                             .highest_fence_round = reply->highest_fence.round,
                             .is_accepted = reply->is_accepted,
                             .phase = reply->schedule.phase,
                             .base_version = reply->schedule.base,
                             .next_version = reply->schedule.next,
                             .switch_step = reply->schedule.step,
                             .current_step = reply->current_step };
}

/* Parse REPLY from FRAME.  Returns STATUS_PROTOCOL if the frame is
   malformed.  */
status_t
group_reply_from_frame (const frame_map_reply_t *frame, group_reply_t *reply)
{
  if (!kind_is_known (frame->kind) || frame->rank >= PLACEMENT_MAX_RANKS)
    return status_set (STATUS_PROTOCOL, "invalid map switch reply");
  reply->kind = (group_command_kind_t)frame->kind;
  reply->rank = (unsigned)frame->rank;
  reply->incarnation = frame->incarnation;
  reply->command_fence = (group_fence_t){ frame->command_fence_epoch,
                                          frame->command_fence_round };
  reply->highest_fence = (group_fence_t){ frame->highest_fence_epoch,
                                          frame->highest_fence_round };
  reply->is_accepted = frame->is_accepted;
  reply->current_step = frame->current_step;
  return schedule_from_numbers (frame->phase, frame->base_version,
                                frame->next_version, frame->switch_step,
                                &reply->schedule);
}
