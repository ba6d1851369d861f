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

/* A process to be probed, and what is known from its replies.  */
struct survey_peer
{
  STAILQ_ENTRY (survey_peer) link;
  survey_t *survey;
  const char *name;
  const char *zone;
  const char *role; /* "entry" or "agent" */
  const char *address;
  const survey_probe_ops_t *ops; /* NULL if the process cannot be probed */
  void *probe;                   /* state of OPS */
  survey_state_t state;
  struct timespec deadline;
  /* While probing: fires at the deadline or, between a failed probe and its
     retry, at the time of the retry.  */
  worker_timer_t *timer;
  const char *error; /* why there is no reply */
  bool has_replied;
  /* Revision in the first reply: the one that the process had before it could
     receive newer settings from the survey.  */
  uint64_t first_revision;
  uint64_t revision; /* revision in the latest reply */
  /* Time since the process last confirmed that its revision is the newest.  */
  uint64_t revision_age_ms;
  bool has_load;
  frame_load_t load;
};

STAILQ_HEAD (survey_peers, survey_peer);

/* Probes a set of processes, each until it has a wanted revision or times out.
   A survey can change the settings that processes run with: agents with an
   older revision than NODE fetch the newer one over the probe's connection, as
   from any other peer.  */
struct survey
{
  ctl_t *ctl;
  /* This program as a peer of the agents.  It starts with SETTINGS, if any,
     fetches newer ones from any agent that has them, and passes its settings
     on to agents with older ones.  */
  node_t *node;
  /* The settings read from the store; NULL in survey_probe_agents, which does
     not use the store's settings.  */
  settings_t *settings;
  uint64_t min_revision;   /* each process is probed until it replies with this
                              revision or a newer one; 0: any reply will do */
  struct timespec timeout; /* of the probe of one process, with retries */
  struct survey_peers peers;
  node_subscription_t subscription; /* to NODE */
  unsigned active_probes;
  bool is_done;
};

/* Agents are probed over a frame connection, entries through the health
   endpoint of their admin address.  */
extern const survey_probe_ops_t survey_agent_probe;
extern const survey_probe_ops_t survey_entry_probe;

/* Probe the processes in the inventory of CURRENT.  Returns when all probes
   have ended, with the results in the peers of the survey; prints nothing but
   an error, with which it returns NULL, if CURRENT is invalid.  */
survey_t *survey_run (ctl_t *ctl, const stored_settings_t *current,
                      uint64_t min_revision);
/* Probe the agents at the COUNT ADDRESSES in the same way, but without
   settings from the store.  "siskinctl restore" uses it to get the newest
   settings that the agents have, after the store was rolled back to an older
   state.  */
survey_t *survey_probe_agents (ctl_t *ctl, char **addresses, int count);
/* Wait until all processes that can be probed have REVISION or time out, and
   report those that don't have it.  */
int survey_await_revision (ctl_t *ctl, uint64_t revision);
/* Called by the implementations of survey_probe_ops_t.  */
void survey_handle_reply (survey_peer_t *peer, uint64_t revision,
                          uint64_t revision_age_ms, const frame_load_t *load);
void survey_handle_failure (survey_peer_t *peer, const char *error);
/* Return whether the latest reply of PEER has the revision of the survey's
   SETTINGS, whatever the survey's min_revision, or a newer one.  Not for
   surveys by survey_probe_agents.  */
bool survey_peer_is_current (const survey_peer_t *peer);
json_t *survey_peer_json (const survey_peer_t *peer);

#endif
