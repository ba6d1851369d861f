#ifndef SISKIN_CTL_SURVEY_H
#define SISKIN_CTL_SURVEY_H

#include "common/frame.h"
#include "common/node.h"
#include "ctl/command.h"
#include "ctl/revision.h"

typedef struct survey survey_t;
typedef struct survey_peer survey_peer_t;

/* How a process is asked.  */
typedef struct survey_probe_ops
{
  /* Begin to ask; false with the status message set when that fails.  */
  bool (*start) (survey_peer_t *peer);
  /* Stop asking; survey_handle_reply and survey_handle_failure are not called
   * afterwards.  */
  void (*stop) (survey_peer_t *peer);
} survey_probe_ops_t;

typedef enum survey_state
{
  SURVEY_PENDING,
  SURVEY_PROBING,
  SURVEY_DONE
} survey_state_t;

/* A process of the inventory and what it answered.  */
struct survey_peer
{
  STAILQ_ENTRY (survey_peer) link;
  survey_t *survey;
  const char *name;
  const char *zone;
  const char *role;
  const char *address;
  const survey_probe_ops_t *ops; /* NULL when it cannot be asked */
  void *probe;
  survey_state_t state;
  struct timespec deadline;
  worker_timer_t *timer;
  const char *fault; /* why there is no answer */
  bool is_answered;
  uint64_t found_revision; /* at first */
  uint64_t revision;
  uint64_t age_ms; /* since its revision was known to be the newest */
  bool has_load;
  frame_load_t load;
};

STAILQ_HEAD (survey_peers, survey_peer);

struct survey
{
  ctl_t *ctl;
  node_t *node;
  settings_t *settings; /* the newest, handed to processes with older ones */
  uint64_t wanted;      /* 0 to take the first answer */
  struct timespec timeout;
  struct survey_peers peers;
  node_subscription_t subscription; /* to NODE */
  unsigned running;
  bool is_done;
};

extern const survey_probe_ops_t survey_frame_probe;
extern const survey_probe_ops_t survey_health_probe;

survey_t *survey_run (ctl_t *ctl, const revision_t *current, uint64_t wanted);
survey_t *survey_probe_agents (ctl_t *ctl, char **addresses, int count);
int survey_confirm (ctl_t *ctl, uint64_t revision);
void survey_handle_reply (survey_peer_t *peer, uint64_t revision,
                          uint64_t age_ms, const frame_load_t *load);
void survey_handle_failure (survey_peer_t *peer, const char *fault);
bool survey_peer_is_current (const survey_peer_t *peer);
json_t *survey_peer_json (const survey_peer_t *peer);

#endif
