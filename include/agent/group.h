#ifndef SISKIN_AGENT_GROUP_H
#define SISKIN_AGENT_GROUP_H

#include "agent/group_coordinator.h"
#include "agent/group_maps.h"
#include "agent/group_rank.h"
#include "common/link.h"
#include "plugins/engine.h"
#include "plugins/store.h"

#include <sys/queue.h>

/* The agent's membership in the lock-step group of its upstream: always as a
   rank, and as the coordinator while it holds the group's epoch.  Used on one
   worker only.  */
typedef struct group group_t;
typedef struct group_leadership group_leadership_t;

enum
{
  /* Return paths are kept for this many epochs: a command of the previous
     coordinator may still be in progress when the next one sends commands.  */
  GROUP_ROUTE_COUNT = 4
};

/* Return path for replies to the commands of one epoch, to the coordinator
   that owns the epoch.  */
typedef struct group_route
{
  uint64_t epoch;
  bool is_self;    /* the coordinator is in this process */
  unsigned worker; /* index of the worker that owns the connection */
  /* Incarnation of the coordinator's process; changes when it restarts.  */
  uint64_t peer_incarnation;
} group_route_t;

/* The agent of another rank.  Connected only while this process is the
   coordinator.  */
typedef struct group_peer
{
  group_t *group;
  unsigned rank;
  char *address_text;
  net_address_t address;
  link_t *link; /* NULL while not connected */
} group_peer_t;

/* A message between this process's coordinator and its own rank, delivered
   through the event loop.  */
typedef struct group_local_message
{
  task_t task;
  STAILQ_ENTRY (group_local_message) link;
  group_t *group;
  bool is_reply;
  group_command_t command;
  bool wants_counts; /* also report the counters of group_t */
  group_reply_t reply;
} group_local_message_t;

typedef struct group_options
{
  worker_t *worker;
  node_t *node;
  const store_ops_t *store_ops;
  store_t *store;
  const char *engine; /* name of the engine plug-in */
  const char *engine_url;
  /* Send FRAME over the connection that ROUTE identifies.  */
  void (*reply) (const group_route_t *route, const frame_t *frame, void *data);
  void *data;
} group_options_t;

struct group
{
  group_options_t options;
  char *name;
  unsigned rank;
  unsigned rank_count;
  const engine_ops_t *engine_ops;
  engine_t *engine;
  bool is_engine_failing; /* the last command to the engine failed */
  group_rank_t *own_rank;
  group_maps_t *maps;
  /* Map version that the counters below are for: they cover the time since the
     engine switched to it.  See engine_response_t.  */
  uint64_t counted_version;
  placement_shape_t shape; /* 0 ranks until the engine has reported it */
  uint64_t work;           /* tokens computed */
  uint64_t busy_us;        /* compute time, without waiting for other ranks */
  uint64_t *tokens;        /* tokens processed, by layer and slot */
  size_t token_count;
  /* Step of the newest switch at which the engine was found waiting because
     the switch was not decided in time.  Ensures that each such hold is logged
     and counted only once.  */
  uint64_t reported_hold_step;
  group_route_t routes[GROUP_ROUTE_COUNT];
  unsigned next_route; /* index modulo GROUP_ROUTE_COUNT to replace next */
  /* If this rank receives no command for a timeout counted from this time, it
     tries to become the coordinator.  Reset when the group is joined, by each
     command whose fence is not outdated, and when this agent's own term as
     coordinator ends.  */
  struct timespec coordinator_timeout_start;
  placement_settings_t placement;
  char *policy;        /* name in PLACEMENT; NULL before the first settings */
  group_peer_t *peers; /* indexed by rank */
  group_leadership_t *leadership;
};

group_t *group_create (TALLOC_CTX *parent, const group_options_t *options,
                       const settings_t *settings, const upstream_t *upstream);
void group_configure (group_t *group, const settings_t *settings);
void group_tick (group_t *group);
void group_receive_frame (group_t *group, const group_route_t *route,
                          const frame_map_command_t *frame);

/* Internal to the group's source files.  group.c: this agent's rank.  */
struct timespec group_now (const group_t *group);
void group_receive_command (group_t *group, const group_route_t *route,
                            const group_command_t *command, bool wants_counts);
void group_post_reply (group_t *group, const group_reply_t *reply);
void group_post_command (group_t *group, const group_command_t *command,
                         bool wants_counts);
void group_counts_frame (group_t *group, TALLOC_CTX *parent, frame_t *frame);

/* group_peers.c: the coordinator's connections to the other ranks.  */
void group_peers_configure (group_t *group, const settings_t *settings);
void group_peers_open (group_t *group);
void group_peers_close (group_t *group);
void group_peers_send (group_t *group, const group_command_t *command,
                       bool wants_counts);

/* group_leadership.c: obtaining the epoch, and acting as the coordinator.  */
group_leadership_t *group_leadership_create (group_t *group);
void group_leadership_configure (group_leadership_t *leadership);
void group_leadership_tick (group_leadership_t *leadership);
void group_leadership_receive (group_leadership_t *leadership,
                               const group_reply_t *reply);
void group_leadership_handle_counts (group_leadership_t *leadership,
                                     const frame_map_counts_t *counts);

/* group_codec.c: conversion between messages and frames.  */
void group_command_to_frame (const group_t *group,
                             const group_command_t *command,
                             frame_map_command_t *frame);
status_t group_command_from_frame (const frame_map_command_t *frame,
                                   group_command_t *command);
void group_reply_to_frame (const group_t *group, const group_reply_t *reply,
                           frame_map_reply_t *frame);
status_t group_reply_from_frame (const frame_map_reply_t *frame,
                                 group_reply_t *reply);

#endif
