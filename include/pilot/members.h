#ifndef SISKIN_PILOT_MEMBERS_H
#define SISKIN_PILOT_MEMBERS_H

#include "pilot/pilot.h"

/* The leader's connections to the ranks of its group.  Each rank is
   reached through the pilot beside its engine or, while that pilot does
   not respond, by direct calls to the engine.  The commands to each rank are
   numbered by tickets.  */
typedef struct members members_t;

typedef struct members_ops
{
  /* REPORT was requested from the engine after the commands up to AFTER_TICKET
     had finished.  */
  void (*on_report) (unsigned rank, const rank_report_t *report,
                     uint64_t after_ticket, void *data);
  void (*on_verdict) (unsigned rank, uint64_t ticket, rank_verdict_t verdict,
                      void *data);
  /* The pilot of the rank that holds the group permits this pilot to arm
     its own rank with VERSION; see RANK_QUERY_ARM_PERMISSION and
     docs/MAP-SWITCH.md.  */
  void (*on_permit) (uint64_t version, void *data);
  /* REPLY is NULL when the rank did not reply.  */
  void (*on_reply) (unsigned rank, rank_query_t query,
                    const rank_reply_t *reply, void *data);
} members_ops_t;

members_t *members_create (pilot_t *pilot, const char *group,
                           unsigned rank_count, unsigned own_rank,
                           const members_ops_t *ops, void *data);
void members_destroy (members_t *members);
/* VALUE is the value of the key that the pilot NAME registers in the store;
   NULL when the key was deleted.  */
void members_update_pilot (members_t *members, const char *name,
                           const char *value);
void members_add_engine (members_t *members, const char *address);
/* Whether the pilot of RANK_NUMBER is another one, connected, and has reported
   recently.  */
bool members_has_active_pilot (const members_t *members, unsigned rank_number);
/* Asks the pilot of RANK_NUMBER to lead, as the leader of TERM stops.  */
void members_ask_to_lead (members_t *members, unsigned rank_number,
                          uint64_t term);
/* Sends the leader's heartbeat to the other pilots.  */
void members_send_heartbeat (members_t *members, uint64_t term);
void members_handle_own_report (members_t *members,
                                const rank_report_t *report);
/* A poll of this pilot's engine starts, whose report follows through
   members_handle_own_report.  */
void members_handle_own_poll_started (members_t *members);
void members_send_command (members_t *members, unsigned rank_number,
                           uint64_t ticket, const rank_command_t *command);
/* Sets the map of the RANK_COMMAND_PREPARE commands that follow.  BASE is the
   map in use.  Neither is needed after the call.  */
void members_set_map (members_t *members, const placement_map_t *base,
                      const placement_map_t *map);
/* Ends the commands that wait to be sent, with RANK_UNREACHABLE.  */
void members_cancel_waiting (members_t *members);
/* Queries this pilot's engine or a rank through its pilot;
   RANK_QUERY_HELD_EXPERTS also goes to the engine of a rank whose pilot can't
   be reached.  Returns whether a query was sent, which at most one on_reply
   follows.  */
bool members_query (members_t *members, unsigned rank_number,
                    rank_query_t query);
/* The rules name LAG as the age of reports that are requested from another
   machine.  */
void members_set_report_lag (members_t *members, struct timespec lag);
/* Bytes that the link of this VM transfers in MS milliseconds.  */
size_t members_link_bytes (const members_t *members, int64_t ms);
/* Sends RANK_QUERY_ARM_PERMISSION to the pilot of RANK_NUMBER; on_permit
   follows if that pilot grants it.  */
void members_request_permit (members_t *members, unsigned rank_number,
                             uint64_t term, uint64_t version);
void members_tick (members_t *members);

#endif
