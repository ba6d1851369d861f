#ifndef SISKIN_PILOT_CREW_STATE_H
#define SISKIN_PILOT_CREW_STATE_H

#include "pilot/crew.h"

/* What the parts of the crew share.  */

/* A pilot of the group, by its key in the store.  */
typedef struct crew_pilot
{
  LIST_ENTRY (crew_pilot) entry;
  crew_t *crew;
  char *name;
  net_address_t address;
  char *upstream;
  link_t *link; /* NULL while there is none */
  struct timespec connect_at;
  bool is_unlisted; /* its key is gone; it goes with its connection */
  bool has_rank;    /* it has reported */
  unsigned rank;
} crew_pilot_t;

/* An engine that is listed; which rank it is, if any of the group, has to be
   asked while a rank has no way to it.  */
typedef struct crew_stranger
{
  LIST_ENTRY (crew_stranger) entry;
  crew_t *crew;
  char *address;
  rank_engine_t *engine; /* NULL unless it was asked */
  bool is_asked;
  struct timespec asked_at;
} crew_stranger_t;

/* A rank and the order under way there.  */
typedef struct crew_rank
{
  crew_t *crew;
  unsigned rank;
  crew_pilot_t *pilot;   /* NULL when it cannot be reached */
  char *upstream;        /* address of the engine; NULL until it is known */
  rank_engine_t *engine; /* to reach it directly; NULL until it is needed */
  bool is_doubtful;      /* its pilot left an order unanswered */
  bool is_pending;
  uint64_t ticket;
  worker_timer_t *timer; /* of the order */
  struct timespec sent_at;
  uint64_t over_ticket;  /* the last order with a clear verdict */
  uint64_t asked_ticket; /* over when the engine was asked directly */
  bool is_polling;
  struct timespec reported_at;
  struct timespec polled_at;
} crew_rank_t;

struct crew
{
  pilot_t *pilot;
  char *group;
  unsigned rank_count;
  unsigned own_rank;
  crew_rank_t *ranks;
  const crew_ops_t *ops;
  void *data;
  uint64_t next_question;
  struct timespec started_at;
  unsigned users; /* connections, and calls to the own engine */
  bool is_retired;
  LIST_HEAD (, crew_pilot) pilots;
  LIST_HEAD (, crew_stranger) strangers;
};

void crew_drop_user (crew_t *crew);
void crew_rank_end_order (crew_rank_t *rank, uint64_t ticket,
                          rank_verdict_t verdict);
rank_engine_t *crew_rank_engine (crew_rank_t *rank);
bool crew_rank_has_pilot (const crew_rank_t *rank);
void crew_take_report (crew_t *crew, unsigned number,
                       const rank_report_t *report, uint64_t after_ticket);
void crew_rank_set_upstream (crew_rank_t *rank, const char *upstream);
void crew_pilot_connect (crew_pilot_t *pilot);

#endif
