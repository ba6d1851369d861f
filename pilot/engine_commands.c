#include "pilot/engine_commands.h"

#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "kernel/log.h"
#include "pilot/command_repeater.h"

COUNTER_DEFINE (repeats, "siskin_rank_orders_repeated_total",
                "Orders sent again since the engine had not answered");
HISTOGRAM_DEFINE (prepare_time, "siskin_rank_order_prepare_seconds",
                  "Time until an engine answered an order to load weights");
HISTOGRAM_DEFINE (arm_time, "siskin_rank_order_arm_seconds",
                  "Time until an engine answered an order to switch its map");
HISTOGRAM_DEFINE (disarm_time, "siskin_rank_order_disarm_seconds",
                  "Time until an engine answered an order not to switch");
HISTOGRAM_DEFINE (hold_time, "siskin_rank_order_hold_seconds",
                  "Time until an engine answered an order to hold its group");
HISTOGRAM_DEFINE (go_time, "siskin_rank_order_go_seconds",
                  "Time until an engine answered an order to go on");

static histogram_t *const times[RANK_COMMAND_KIND_COUNT] = {
  [RANK_COMMAND_PREPARE] = &prepare_time, [RANK_COMMAND_ARM] = &arm_time,
  [RANK_COMMAND_DISARM] = &disarm_time,   [RANK_COMMAND_HOLD] = &hold_time,
  [RANK_COMMAND_RELEASE] = &go_time,
};

struct engine_commands
{
  worker_t *worker;
  const rank_engine_ops_t *engine_ops;
  rank_engine_t *engine;
  void (*on_repeat) (void *data);
  void *data;
  command_repeater_t *repeater;
  worker_timer_t *timer;
};

/* An attempt on its way to the engine.  */
typedef struct engine_attempt
{
  engine_commands_t *commands;
  uint64_t number;
} engine_attempt_t;

static void
commands_on_verdict (rank_verdict_t verdict, void *data)
{
  engine_attempt_t *attempt = data;
  engine_commands_t *commands = attempt->commands;
  uint64_t number = attempt->number;

  talloc_free (attempt);
  command_repeater_handle_verdict (commands->repeater, number, verdict);
}

static bool
commands_send_attempt (uint64_t number, const rank_command_t *command,
                       void *data)
{
  engine_commands_t *commands = data;
  engine_attempt_t *attempt = talloc_zero (commands, engine_attempt_t);

  if (attempt == NULL)
    return false;
  attempt->commands = commands;
  attempt->number = number;
  if (commands->engine_ops->command (commands->engine, command,
                                     commands_on_verdict, attempt)
      == STATUS_OK)
    return true;
  talloc_free (attempt);
  return false;
}

static void
commands_on_timer (worker_t *worker, void *data)
{
  engine_commands_t *commands = data;

  (void)worker;
  commands->timer = NULL;
  command_repeater_tick (commands->repeater);
}

static void
commands_set_timer (struct timespec delay, void *data)
{
  engine_commands_t *commands = data;

  talloc_free (commands->timer);
  commands->timer = worker_timer_start (commands->worker, commands, delay,
                                        commands_on_timer, commands);
}

static void
commands_on_repeat (const rank_command_t *command, unsigned attempts,
                    struct timespec after, void *data)
{
  const engine_commands_t *commands = data;

  counter_add (&repeats, 1);
  log_event (LOG_LEVEL_INFO, "order-repeated", "kind=%s attempts=%u ms=%lld",
             rank_command_name (command->kind), attempts,
             (long long)timespec_to_ms (after));
  if (commands->on_repeat != NULL)
    commands->on_repeat (commands->data);
}

static void
commands_on_end (const rank_command_t *command, rank_verdict_t verdict,
                 struct timespec after, void *data)
{
  (void)data;
  if (verdict != RANK_OUTCOME_UNKNOWN && verdict != RANK_UNREACHABLE)
    histogram_record (times[command->kind], timespec_to_ms (after));
}

static const command_repeater_ops_t commands_repeater_ops = {
  .send = commands_send_attempt,
  .set_timer = commands_set_timer,
  .on_repeat = commands_on_repeat,
  .on_end = commands_on_end,
};

/* Creates the commands to ENGINE.  */
engine_commands_t *
engine_commands_create (TALLOC_CTX *parent, worker_t *worker,
                        const rank_engine_ops_t *engine_ops,
                        rank_engine_t *engine, void (*on_repeat) (void *data),
                        void *data)
{
  engine_commands_t *commands = talloc_zero (parent, engine_commands_t);

  if (commands == NULL)
    return NULL;
  commands->worker = worker;
  commands->engine_ops = engine_ops;
  commands->engine = engine;
  commands->on_repeat = on_repeat;
  commands->data = data;
  commands->repeater = command_repeater_create (
      commands, worker_clock (worker), &commands_repeater_ops, commands);
  if (commands->repeater == NULL)
    TALLOC_FREE (commands);
  return commands;
}

/* Frees COMMANDS and forgets the commands in progress.  */
void
engine_commands_destroy (engine_commands_t *commands)
{
  talloc_free (commands);
}

/* Sends COMMAND, again until it is answered.  */
status_t
engine_commands_send (engine_commands_t *commands,
                      const rank_command_t *command, rank_command_done_t done,
                      void *data)
{
  return command_repeater_send (commands->repeater, command, done, data);
}
