#ifndef SISKIN_PILOT_SWITCH_TRACE_H
#define SISKIN_PILOT_SWITCH_TRACE_H

#include "pilot/switcher.h"

/* What one switch, or one recovery, has cost so far, for the log: for each
   phase its duration, the commands sent and the rank that was done last, and
   the time for which the group was stopped.  */
typedef struct switch_trace switch_trace_t;

switch_trace_t *switch_trace_create (TALLOC_CTX *parent);
void switch_trace_destroy (switch_trace_t *trace);
/* Forgets everything: another switch or recovery starts.  */
void switch_trace_start (switch_trace_t *trace);
/* PHASE starts, and the one before ends.  */
void switch_trace_enter (switch_trace_t *trace, switcher_phase_t phase,
                         struct timespec now);
void switch_trace_count_command (switch_trace_t *trace);
void switch_trace_count_done (switch_trace_t *trace, unsigned rank);
/* The switch is to happen LOOKAHEAD steps after the last one known.  */
void switch_trace_set_lookahead (switch_trace_t *trace, uint64_t lookahead);
/* Records whether the group is stopped by a hold at NOW.  */
void switch_trace_observe (switch_trace_t *trace, bool is_stopped,
                           struct timespec now);
/* Returns the trace as key=value pairs, owned by PARENT: "stopped_ms=MS", the
   lookahead as "ahead=STEPS", and for each phase that was passed
   "NAME=MS/COMMANDS/LAST_RANK".  */
char *switch_trace_format (const switch_trace_t *trace, TALLOC_CTX *parent);

#endif
