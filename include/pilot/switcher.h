#ifndef SISKIN_PILOT_SWITCHER_H
#define SISKIN_PILOT_SWITCHER_H

#include "plugins/rank_engine.h"

#include <talloc.h>
#include <time.h>

/* Takes a lock-step group from one expert map to the next so that no step is
   begun while two ranks have different maps.  Engines check fences; see
   docs/MAP-SWITCH.md.  A state machine: it sends orders through its
   operations, one at a time to each rank, and is told what becomes of them and
   what the engines report.  Belongs to one worker.  */
typedef struct switcher switcher_t;

#define SWITCHER_ANY_VERSION UINT64_MAX

/* The leader before.  */
typedef struct switcher_deposed
{
  unsigned rank; /* its own */
  uint64_t term;
  /* The last version for which this process let it arm its own rank; 0 for
     none, SWITCHER_ANY_VERSION when it cannot know.  */
  uint64_t permitted;
} switcher_deposed_t;

typedef enum switcher_phase
{
  SWITCHER_OFF,       /* does not lead */
  SWITCHER_CLAIMING,  /* has every engine see the fence */
  SWITCHER_RESOLVING, /* ends what an earlier leader left behind */
  SWITCHER_IDLE,
  SWITCHER_PREPARING,
  SWITCHER_HOLDING,
  SWITCHER_ARMING,
  SWITCHER_RELEASING,
  SWITCHER_DISARMING,
  SWITCHER_PHASE_COUNT
} switcher_phase_t;

typedef enum switcher_event
{
  SWITCHER_SETTLED,   /* every rank is known and nothing is under way */
  SWITCHER_SWITCHED,  /* the group goes on with the new map */
  SWITCHER_GIVEN_UP,  /* the new map is dropped; nothing has changed */
  SWITCHER_RESTARTED, /* the group formed anew: all engines have lost maps */
  SWITCHER_DEPOSED    /* an engine has seen a higher fence */
} switcher_event_t;

typedef struct switcher_ops
{
  /* TICKET goes with the order; it rises from each order to RANK to the
     next.  */
  void (*order) (unsigned rank, uint64_t ticket, const rank_command_t *order,
                 void *data);
  /* Ask the pilot of RANK, the one that holds the group, to let the own rank
     be armed with VERSION; answered by switcher_note_permit.  */
  void (*ask_permit) (unsigned rank, uint64_t term, uint64_t version,
                      void *data);
  void (*on_event) (switcher_event_t event, const char *reason, void *data);
} switcher_ops_t;

switcher_t *switcher_create (TALLOC_CTX *parent, unsigned rank_count,
                             unsigned own_rank, const switcher_ops_t *ops,
                             void *data);
void switcher_destroy (switcher_t *switcher);
void switcher_lead (switcher_t *switcher, uint64_t term,
                    const switcher_deposed_t *deposed, struct timespec now);
void switcher_stop (switcher_t *switcher);
bool switcher_start (switcher_t *switcher, const placement_map_t *map,
                     struct timespec now);
void switcher_note_report (switcher_t *switcher, unsigned rank,
                           const rank_report_t *report, uint64_t after_ticket,
                           struct timespec now);
void switcher_note_verdict (switcher_t *switcher, unsigned rank,
                            uint64_t ticket, rank_verdict_t verdict,
                            struct timespec now);
void switcher_note_permit (switcher_t *switcher, uint64_t version,
                           struct timespec now);
void switcher_tick (switcher_t *switcher, struct timespec now);
switcher_phase_t switcher_phase (const switcher_t *switcher);
const char *switcher_phase_name (switcher_phase_t phase);
uint64_t switcher_epoch (const switcher_t *switcher);
uint64_t switcher_version (const switcher_t *switcher);
uint64_t switcher_map (const switcher_t *switcher);
void switcher_set_holder (switcher_t *switcher, unsigned rank);
bool switcher_is_ready (const switcher_t *switcher, struct timespec now);

#endif
