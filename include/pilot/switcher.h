#ifndef SISKIN_PILOT_SWITCHER_H
#define SISKIN_PILOT_SWITCHER_H

#include "plugins/rank_engine.h"

#include <talloc.h>
#include <time.h>

/* Switches a lock-step group from one expert map to the next so that no
   step runs while two ranks use different maps.  Engines reject commands
   with an outdated fencing token; see docs/MAP-SWITCH.md.  A state machine
   without I/O: it sends commands through its operations, one at a time to
   each rank, and receives their outcomes and the engines' reports through
   the switcher_handle_* calls.  Belongs to one worker.  */
typedef struct switcher switcher_t;

#define SWITCHER_UNKNOWN_VERSION UINT64_MAX

/* The previous leader, which this pilot has deposed by taking over.  Its
   engine may be unreachable together with it.  */
typedef struct switcher_deposed
{
  unsigned rank; /* rank of the engine beside it */
  uint64_t term;
  /* The last map version with which this pilot has permitted the previous
     leader to arm that rank: 0 for none, SWITCHER_UNKNOWN_VERSION when this
     process may have lost that information in a restart.  */
  uint64_t granted_version;
} switcher_deposed_t;

typedef enum switcher_phase
{
  SWITCHER_OFF,      /* not the leader */
  SWITCHER_CLAIMING, /* sends the new fencing token to every engine */
  /* Checks what an earlier term or round left armed or held: continues with
     SWITCHER_DISARMING if only some ranks are armed or they are armed
     differently, and otherwise releases the group.  */
  SWITCHER_RECOVERING,
  SWITCHER_IDLE,      /* a switch may start */
  SWITCHER_PREPARING, /* all engines load the weights of the new map */
  SWITCHER_HOLDING,   /* one engine holds the group before the switch step */
  SWITCHER_ARMING,    /* all engines schedule the switch for that step */
  SWITCHER_RELEASING, /* the group goes on, with the new map if armed */
  /* Cancels the scheduled switches at all ranks, then returns to
     SWITCHER_RECOVERING.  */
  SWITCHER_DISARMING,
  SWITCHER_PHASE_COUNT
} switcher_phase_t;

typedef enum switcher_event
{
  /* Recovering has finished: no engine is held.  Either all engines are armed
     with the same map and step, and then switch, or none is armed.  */
  SWITCHER_RECOVERED,
  /* Recovering has finished as above, and the switch whose map was prepared
     meanwhile goes on; see switcher_can_prepare_early.  */
  SWITCHER_RESUMED,
  SWITCHER_SWITCHED,  /* the group runs with the new map */
  SWITCHER_ADVANCED,  /* a switch is moved to an earlier step; see
                         switcher_advance */
  SWITCHER_ABORTED,   /* the new map is discarded; the map in use stays */
  SWITCHER_RESTARTED, /* the group was re-formed: all engines lost their
                         prepared maps */
  /* This pilot is no longer the leader: an engine rejected its command because
     it has seen a higher fencing token.  */
  SWITCHER_DEPOSED
} switcher_event_t;

typedef struct switcher_ops
{
  /* Sends a command.  TICKET identifies it and increases with each command
     to the same RANK.  The outcome is passed to switcher_handle_verdict.  */
  void (*send_command) (unsigned rank, uint64_t ticket,
                        const rank_command_t *command, void *data);
  /* Requests permission from the pilot of RANK, which holds the group, to arm
     this pilot's rank with VERSION (see RANK_QUERY_ARM_PERMISSION).  The reply
     is passed to switcher_handle_permit.  */
  void (*request_permit) (unsigned rank, uint64_t term, uint64_t version,
                          void *data);
  void (*on_event) (switcher_event_t event, const char *reason, void *data);
} switcher_ops_t;

enum
{
  SWITCHER_NO_WAIT = -1
};

/* The rank that a leader waits for: in a switch or a recovery, or, while idle,
   because no switch may start without its report.  */
typedef struct switcher_wait
{
  int rank;         /* SWITCHER_NO_WAIT: none */
  unsigned missing; /* number of such ranks */
  /* Since any rank last advanced the phase, or, while idle, since the last
     report of the rank.  */
  int64_t ms;
  int64_t report_age_ms; /* of the rank; -1: no report in this term */
  const char *reason;    /* constant string for the log */
} switcher_wait_t;

switcher_t *switcher_create (TALLOC_CTX *parent, unsigned rank_count,
                             unsigned own_rank, const switcher_ops_t *ops,
                             void *data);
void switcher_destroy (switcher_t *switcher);
void switcher_start_term (switcher_t *switcher, uint64_t term,
                          const switcher_deposed_t *deposed,
                          struct timespec now);
void switcher_stop (switcher_t *switcher);
bool switcher_start_switch (switcher_t *switcher, const placement_map_t *map,
                            struct timespec now);
/* Moves the switch for which all ranks are armed to the next step, as steps
   have become long.  Returns false and does nothing if that isn't possible or
   doesn't pay.  */
bool switcher_advance (switcher_t *switcher, struct timespec now);
void switcher_handle_report (switcher_t *switcher, unsigned rank,
                             const rank_report_t *report,
                             uint64_t after_ticket, struct timespec now);
void switcher_handle_verdict (switcher_t *switcher, unsigned rank,
                              uint64_t ticket, rank_verdict_t verdict,
                              struct timespec now);
void switcher_handle_permit (switcher_t *switcher, uint64_t version,
                             struct timespec now);
void switcher_tick (switcher_t *switcher, struct timespec now);
switcher_phase_t switcher_phase (const switcher_t *switcher);
const char *switcher_phase_name (switcher_phase_t phase);
uint64_t switcher_epoch (const switcher_t *switcher);
/* Map version of the last switch started by this switcher, successful or not;
   0 for none.  */
uint64_t switcher_last_version (const switcher_t *switcher);
/* Version of the map in use, from the last report of this pilot's rank.  */
uint64_t switcher_map_version (const switcher_t *switcher);
/* Sets the rank whose engine holds the group during the next switches; this
   pilot's rank by default.  */
void switcher_set_holding_rank (switcher_t *switcher, unsigned rank);
/* The steps take FACTOR times as long from now on, as when a rank has become
   slow: the first of them is not measured before it has ended.  */
void switcher_scale_step_time (switcher_t *switcher, double factor);
/* What the last switch or recovery has cost, as key=value pairs for the log,
   owned by PARENT; see switch_trace_format.  */
char *switcher_describe (const switcher_t *switcher, TALLOC_CTX *parent);
/* Finds which rank the current phase waits for, since when and why.  */
void switcher_find_wait (const switcher_t *switcher, struct timespec now,
                         switcher_wait_t *wait);
/* WAIT as key=value pairs for the log, owned by PARENT.  */
char *switcher_describe_wait (const switcher_t *switcher,
                              const switcher_wait_t *wait, TALLOC_CTX *parent);
/* Whether this leader can stop now: it has not held the group or armed ranks
   in a switch that is not finished.  Weights that were loaded do no harm.  */
bool switcher_can_stop (const switcher_t *switcher);
/* Whether a switch may start: the switcher is idle, all ranks use the same
   map, none is armed or held, and all have reported recently.  */
bool switcher_is_ready (const switcher_t *switcher, struct timespec now);
/* Whether switcher_start_switch may prepare a map although the claim still
   waits for some ranks: the others use the same map, and none of them is armed
   or held.  The switch goes on when all ranks have answered, or is dropped
   then.  */
bool switcher_can_prepare_early (const switcher_t *switcher,
                                 struct timespec now);
/* Whether RANK has answered the claim of this round; true after it.  */
bool switcher_has_answered (const switcher_t *switcher, unsigned rank);

#endif
