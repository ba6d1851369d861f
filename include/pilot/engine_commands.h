#ifndef SISKIN_PILOT_ENGINE_COMMANDS_H
#define SISKIN_PILOT_ENGINE_COMMANDS_H

#include "kernel/pool.h"
#include "plugins/rank_engine.h"

/* Commands to the engine of one rank, sent by a command_repeater_t on a
   worker.  */
typedef struct engine_commands engine_commands_t;

/* Commands to ENGINE, which must outlive the result.  ON_REPEAT, which may be
   NULL, is called with DATA when the engine leaves an attempt unanswered.
   Returns NULL when memory is exhausted.  */
engine_commands_t *engine_commands_create (
    TALLOC_CTX *parent, worker_t *worker, const rank_engine_ops_t *engine_ops,
    rank_engine_t *engine, void (*on_repeat) (void *data), void *data);
/* DONE isn't called for the commands in progress.  */
void engine_commands_destroy (engine_commands_t *commands);
/* Sends COMMAND; see command_repeater_send.  */
status_t engine_commands_send (engine_commands_t *commands,
                               const rank_command_t *command,
                               rank_command_done_t done, void *data);

#endif
