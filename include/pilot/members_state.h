#ifndef SISKIN_PILOT_MEMBERS_STATE_H
#define SISKIN_PILOT_MEMBERS_STATE_H

#include "pilot/finished_command.h"
#include "pilot/members.h"

/* Private to members*.c.  */

/* A pilot of the group, found by its key in the store.  */
typedef struct member_pilot
{
  LIST_ENTRY (member_pilot) entry;
  members_t *members;
  char *name;
  net_address_t address;
  char *engine_address;       /* address of the engine beside it */
  link_t *link;               /* NULL while not connected */
  struct timespec connect_at; /* time of the next attempt to connect */
  bool is_unlisted; /* its key is gone; freed when its connection closes */
  bool has_rank;    /* RANK is valid: the pilot has sent a report */
  unsigned rank;
} member_pilot_t;

/* An engine of the service that is listed in the store.  The listing does
   not contain its rank, which is queried while the address of a rank is
   unknown.  */
typedef struct listed_engine
{
  LIST_ENTRY (listed_engine) entry;
  members_t *members;
  char *address;
  rank_engine_t *engine; /* NULL until it is first polled */
  bool is_polling;
  struct timespec polled_at;
} listed_engine_t;

/* A rank of the group, reached through PILOT or ENGINE, and the command in
   progress there.  */
typedef struct member_rank
{
  members_t *members;
  unsigned rank;
  member_pilot_t *pilot; /* NULL when none is connected */
  char *engine_address;  /* NULL until known */
  /* Client for direct calls; NULL until the first one.  */
  rank_engine_t *engine;
  engine_commands_t *commands; /* to ENGINE */
  bool is_pilot_suspect;  /* its pilot did not reply to a command in time */
  bool is_pending;        /* the command TICKET is in progress */
  bool is_direct;         /* it was sent to the engine and not its pilot */
  uint64_t ticket;        /* last command sent */
  rank_command_t command; /* that command, without its map */
  /* The command waits until the commands to other ranks were answered.  */
  bool is_waiting;
  TAILQ_ENTRY (member_rank) waiting_link;
  size_t unanswered_bytes; /* of the command on its way */
  /* Its pilot lacks the map that MAP_CHANGES of the members is based on.  */
  bool needs_whole_map;
  worker_timer_t *timer; /* timeout of the command */
  struct timespec sent_at;
  finished_command_t finished; /* last command whose outcome is known */
  /* The last command whose effect the last poll of the engine by this process
     shows, which is AFTER_TICKET of its report.  */
  uint64_t poll_after_ticket;
  bool is_polling;             /* a direct poll is in progress */
  struct timespec reported_at; /* last report, direct or of the pilot */
  struct timespec polled_at;   /* start of the last direct poll */
} member_rank_t;

struct members
{
  pilot_t *pilot;
  char *group;
  unsigned rank_count;
  unsigned own_rank;
  member_rank_t *ranks;
  const members_ops_t *ops;
  void *data;
  /* Number of the next query to pilots, from which its ticket is computed.  */
  uint64_t next_query;
  struct timespec started_at;
  /* How much older than the request the values of a report can be that this
     process requests from an engine on another machine.  */
  struct timespec report_lag;
  /* Open connections and pending calls to this pilot's engine, which use
     MEMBERS after members_destroy.  */
  unsigned references;
  bool is_closing; /* members_destroy was called */
  /* The map of the switch in progress, encoded; its bytes belong to
     MAP_DATA.  */
  TALLOC_CTX *map_data;
  blob_t map_whole;
  blob_t map_changes; /* to the map in use; no bytes if that is not shorter */
  TAILQ_HEAD (, member_rank) waiting;
  size_t unanswered_bytes; /* of all ranks */
  LIST_HEAD (, member_pilot) pilots;
  LIST_HEAD (, listed_engine) listed_engines;
};

void members_unref (members_t *members);
void member_rank_finish_command (member_rank_t *rank, uint64_t ticket,
                                 rank_verdict_t verdict);
/* Sends the command TICKET again, with the whole map, as the pilot of RANK
   lacks the base of the changes.  Ignored unless it is in progress.  */
void member_rank_send_whole_map (member_rank_t *rank, uint64_t ticket);
rank_engine_t *member_rank_engine (member_rank_t *rank);
bool member_rank_has_pilot (const member_rank_t *rank);
void members_handle_report (members_t *members, unsigned rank_number,
                            const rank_report_t *report,
                            uint64_t after_ticket);
void member_rank_set_engine_address (member_rank_t *rank,
                                     const char *engine_address);
void member_pilot_connect (member_pilot_t *pilot);

#endif
