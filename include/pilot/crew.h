#ifndef SISKIN_PILOT_CREW_H
#define SISKIN_PILOT_CREW_H

#include "pilot/pilot.h"

/* The ranks of the group that this pilot leads, and the way to each: its pilot
   or, when that cannot be reached, the engine itself.  */
typedef struct crew crew_t;

typedef struct crew_ops
{
  void (*on_report) (unsigned rank, const rank_report_t *report,
                     uint64_t after_ticket, void *data);
  void (*on_verdict) (unsigned rank, uint64_t ticket, rank_verdict_t verdict,
                      void *data);
  /* The pilot of the holder lets the own rank be armed with VERSION.  */
  void (*on_permit) (uint64_t version, void *data);
  /* TOLD is NULL when the rank did not answer.  */
  void (*on_told) (unsigned rank, rank_query_t question,
                   const rank_reply_t *told, void *data);
} crew_ops_t;

crew_t *crew_create (pilot_t *pilot, const char *group, unsigned rank_count,
                     unsigned own_rank, const crew_ops_t *ops, void *data);
void crew_destroy (crew_t *crew);
void crew_note_pilot (crew_t *crew, const char *name, const char *value);
void crew_note_upstream (crew_t *crew, const char *address);
unsigned crew_choose_holder (const crew_t *crew);
void crew_show_leading (crew_t *crew, uint64_t term);
void crew_note_own_report (crew_t *crew, const rank_report_t *report);
void crew_note_asking (crew_t *crew);
void crew_order (crew_t *crew, unsigned number, uint64_t ticket,
                 const rank_command_t *order);
unsigned crew_ask_all (crew_t *crew, rank_query_t question);
void crew_ask_permit (crew_t *crew, unsigned number, uint64_t term,
                      uint64_t version);
void crew_tick (crew_t *crew);

#endif
