#ifndef SISKIN_PILOT_FINISHED_COMMAND_H
#define SISKIN_PILOT_FINISHED_COMMAND_H

#include <stdint.h>
#include <time.h>

/* The last command to a rank whose outcome is known.  */
typedef struct finished_command
{
  uint64_t ticket;    /* 0: none */
  struct timespec at; /* monotonic time at which the outcome arrived */
} finished_command_t;

/* Returns the longest time by which the values of a report can be older than
   the request for it, if the operators' rules name the lag NAMED, zero if they
   name none.  */
struct timespec report_lag_limit (struct timespec named);
/* Returns the ticket of the last command whose effect a report certainly
   shows that is requested at NOW and whose values are up to LAG older: that of
   COMMAND, or 0.  */
uint64_t finished_command_shown (const finished_command_t *command,
                                 struct timespec now, struct timespec lag);

#endif
