#include "agent/group_message.h"

enum
{
  VERSION_EPOCH_BITS = 24
};

static const char *const phase_names[] = {
  [GROUP_NO_MAP] = "no-map",       [GROUP_STEADY] = "steady",
  [GROUP_PREPARED] = "prepared",   [GROUP_ARMED] = "armed",
  [GROUP_COMMITTED] = "committed",
};

/* Return a map version that is higher than VERSION and that no coordinator of
   another epoch generates.  The epoch alone would not make versions increase:
   an old coordinator may lead again after every rank has restarted and lost
   its record of a newer coordinator.  */
uint64_t
group_version_after (uint64_t version, uint64_t epoch)
{
  uint64_t mask = (UINT64_C (1) << VERSION_EPOCH_BITS) - 1;

  return (((version >> VERSION_EPOCH_BITS) + 1) << VERSION_EPOCH_BITS)
         | (epoch & mask);
}

/* Return a value below, equal to or above 0 if LEFT is lower than, equal to or
   higher than RIGHT.  */
int
group_fence_compare (group_fence_t left, group_fence_t right)
{
  if (left.epoch != right.epoch)
    return left.epoch < right.epoch ? -1 : 1;
  if (left.round != right.round)
    return left.round < right.round ? -1 : 1;
  return 0;
}

/* Return the name of PHASE for logs.  */
const char *
group_phase_name (group_phase_t phase)
{
  return phase_names[phase];
}
