#ifndef SISKIN_CTL_SURVEY_H
#define SISKIN_CTL_SURVEY_H

#include "common/frame.h"
#include "common/node.h"
#include "ctl/command.h"
#include "ctl/revision.h"

typedef struct survey survey_t;
typedef struct survey_peer survey_peer_t;

/* Protocol by which a process is probed.  */
typedef struct survey_probe_ops
{
  /* Start a probe.  Returns false with the status message set on failure.  */
  bool (*start) (survey_peer_t *peer);
  /* Stop the probe; survey_handle_reply and survey_handle_failure are not
     called afterwards.  */
  void (*stop) (survey_peer_t *peer);
} survey_probe_ops_t;

typedef enum survey_state
{
  SURVEY_PENDING, /* waits for one of the MAX_CONCURRENT_PROBES */
  SURVEY_PROBING,
  SURVEY_DONE
} survey_state_t;

/* A process to be probed and its latest reply.  */
struct survey_peer
{
  STAILQ_ENTRY (survey_peer) link;
  survey_t *survey;
  const char *name;
  const char *zone;
  const char *role;
  const char *address;
  const survey_probe_ops_t *ops; /* NULL when it cannot be probed */
  void *probe;                   /* state of OPS */
  survey_state_t state;
  struct timespec deadline;
  worker_timer_t *timer; /* deadline or retry */
  const char *error;     /* why there is no reply */
  bool has_replied;
  uint64_t first_revision;  /* in the first reply */
  uint64_t revision;        /* in the latest reply */
  uint64_t revision_age_ms; /* since the process last confirmed that its
                               revision is the newest */
  bool has_load;
  frame_load_t load;
};

STAILQ_HEAD (survey_peers, survey_peer);

/* One round of probes over a set of processes.  */
struct survey
{
  ctl_t *ctl;
  node_t *node; /* holds the newest settings and exchanges them with peers */
  settings_t *settings;    /* from the store, for agents to fetch; NULL
                              when only agents are probed */
  uint64_t min_revision;   /* to wait for; 0 accepts any reply */
  struct timespec timeout; /* for each process */
  struct survey_peers peers;
  node_subscription_t subscription; /* to NODE */
  unsigned active_probes;
  bool is_done;
};

extern const survey_probe_ops_t survey_agent_probe;
extern const survey_probe_ops_t survey_entry_probe;

survey_t *survey_run (ctl_t *ctl, const stored_settings_t *current,
                      uint64_t min_revision);
survey_t *survey_probe_agents (ctl_t *ctl, char **addresses, int count);
int survey_await_revision (ctl_t *ctl, uint64_t revision);
void survey_handle_reply (survey_peer_t *peer, uint64_t revision,
                          uint64_t revision_age_ms, const frame_load_t *load);
void survey_handle_failure (survey_peer_t *peer, const char *error);
bool survey_peer_is_current (const survey_peer_t *peer);
json_t *survey_peer_json (const survey_peer_t *peer);

#endif
