#include "pilot/switch_trace.h"

#include "kernel/clock.h"

typedef struct phase_trace
{
  bool is_passed;
  int64_t duration_ms;
  unsigned commands;
  unsigned last_rank; /* that was done; 0 if none was */
} phase_trace_t;

struct switch_trace
{
  phase_trace_t phases[SWITCHER_PHASE_COUNT];
  switcher_phase_t phase; /* the current one */
  struct timespec entered_at;
  bool is_stopped; /* at OBSERVED_AT */
  struct timespec observed_at;
  int64_t stopped_ms;
  uint64_t lookahead; /* steps */
};

/* Creates an empty trace.  Returns NULL when memory is exhausted.  */
switch_trace_t *
switch_trace_create (TALLOC_CTX *parent)
{
  return talloc_zero (parent, switch_trace_t);
}

/* Frees TRACE.  */
void
switch_trace_destroy (switch_trace_t *trace)
{
  talloc_free (trace);
}

/* Forgets everything: another switch or recovery starts.  */
void
switch_trace_start (switch_trace_t *trace)
{
  *trace = (switch_trace_t){ 0 };
}

/* Ends the current phase at NOW and starts PHASE.  */
void
switch_trace_enter (switch_trace_t *trace, switcher_phase_t phase,
                    struct timespec now)
{
  phase_trace_t *current = &trace->phases[trace->phase];

  if (current->is_passed)
    current->duration_ms
        += timespec_to_ms (timespec_subtract (now, trace->entered_at));
  trace->phase = phase;
  trace->entered_at = now;
  trace->phases[phase].is_passed
      = phase != SWITCHER_OFF && phase != SWITCHER_IDLE;
}

/* Counts a command sent in the current phase.  */
void
switch_trace_count_command (switch_trace_t *trace)
{
  trace->phases[trace->phase].commands++;
}

/* RANK is done with the current phase.  */
void
switch_trace_count_done (switch_trace_t *trace, unsigned rank)
{
  trace->phases[trace->phase].last_rank = rank;
}

/* Records that the switch is to happen LOOKAHEAD steps ahead.  */
void
switch_trace_set_lookahead (switch_trace_t *trace, uint64_t lookahead)
{
  trace->lookahead = lookahead;
}

/* Adds the time since the last observation if the group was stopped then.  */
void
switch_trace_observe (switch_trace_t *trace, bool is_stopped,
                      struct timespec now)
{
  if (trace->is_stopped)
    trace->stopped_ms
        += timespec_to_ms (timespec_subtract (now, trace->observed_at));
  trace->is_stopped = is_stopped;
  trace->observed_at = now;
}

/* Returns TRACE as text owned by PARENT.  */
char *
switch_trace_format (const switch_trace_t *trace, TALLOC_CTX *parent)
{
  char *text = talloc_asprintf (parent, "stopped_ms=%lld ahead=%llu",
                                (long long)trace->stopped_ms,
                                (unsigned long long)trace->lookahead);

  for (unsigned i = 0; i < SWITCHER_PHASE_COUNT; i++)
    {
      const phase_trace_t *phase = &trace->phases[i];

      if (phase->is_passed)
        text = talloc_asprintf_append_buffer (
            text, " %s=%lld/%u/%u", switcher_phase_name (i),
            (long long)phase->duration_ms, phase->commands, phase->last_rank);
    }
  return text;
}
