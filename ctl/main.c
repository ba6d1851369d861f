#include "ctl/report.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STORE_TIMEOUT_MS = 2000, /* timeout of one call */
  MAX_STORE_URLS = 8,
  MAX_COMMAND_ARGUMENTS = 16,
  OPTION_FORCE = 0x100, /* options without a one-letter form */
  OPTION_NO_WAIT
};

typedef struct ctl_arguments
{
  const char *stores[MAX_STORE_URLS + 1];
  unsigned store_count;
  const char *who;
  const char *why;
  bool is_json;
  bool is_forced;
  bool is_no_wait;
  char *command_argv[MAX_COMMAND_ARGUMENTS]; /* command name first */
  int command_argc;
} ctl_arguments_t;

static const struct argp_option options[] = {
  { "store", 's', "URL", 0,
    "URL of the key-value store; may be repeated; default: the value of "
    "SISKIN_STORE",
    0 },
  { "who", 'u', "NAME", 0, "Author of the change; default: the value of USER",
    0 },
  { "why", 'm', "TEXT", 0, "Reason for the change", 0 },
  { "json", 'j', NULL, 0, "Print the result as one JSON object", 0 },
  { "force", OPTION_FORCE, NULL, 0,
    "Allow a change that leaves a service without upstreams", 0 },
  { "no-wait", OPTION_NO_WAIT, NULL, 0,
    "Do not wait until the processes confirm a change", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  ctl_arguments_t *arguments = state->input;

  switch (key)
    {
    case 's':
      if (arguments->store_count == MAX_STORE_URLS)
        argp_error (state, "more than %d store URLs", MAX_STORE_URLS);
      arguments->stores[arguments->store_count++] = argument;
      return 0;
    case 'u':
      arguments->who = argument;
      return 0;
    case 'm':
      arguments->why = argument;
      return 0;
    case 'j':
      arguments->is_json = true;
      return 0;
    case OPTION_FORCE:
      arguments->is_forced = true;
      return 0;
    case OPTION_NO_WAIT:
      arguments->is_no_wait = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->command_argc == MAX_COMMAND_ARGUMENTS)
        argp_error (state, "more than %d arguments", MAX_COMMAND_ARGUMENTS);
      arguments->command_argv[arguments->command_argc++] = argument;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Return the help text, which lists the registered commands.  */
static char *
describe_commands (void)
{
  char *text = talloc_strdup (
      NULL, "Inspect and change the settings of a siskinspur site\v"
            "Commands:\n");
  const plugin_t *plugin;

  for (plugin = plugin_next (PLUGIN_COMMAND, NULL); plugin != NULL;
       plugin = plugin_next (PLUGIN_COMMAND, plugin))
    {
      const command_ops_t *ops = plugin->ops;

      text = talloc_asprintf_append_buffer (text, "  %s %s\n      %s\n",
                                            plugin->name, ops->usage,
                                            plugin->summary);
    }
  return text;
}

static bool
open_store (ctl_t *ctl, const ctl_arguments_t *arguments)
{
  store_options_t options = { .urls = arguments->stores,
                              .timeout = timespec_from_ms (STORE_TIMEOUT_MS) };

  ctl->store_ops = plugin_ops (PLUGIN_STORE, "etcd");
  ctl->store = ctl->store_ops->create (ctl->worker, &options);
  if (ctl->store == NULL)
    report_error (ctl, "%s", status_message ());
  return ctl->store != NULL;
}

/* Look up the command, check its requirements and run it.  Returns the exit
   status.  */
static int
run_command (ctl_t *ctl, ctl_arguments_t *arguments)
{
  const char *name = arguments->command_argv[0];
  const command_ops_t *ops = plugin_ops (PLUGIN_COMMAND, name);
  int result;

  if (ops == NULL)
    {
      report_error (ctl, "%s", status_message ());
      return CTL_USAGE;
    }
  if (ops->needs_reason && ctl->why[0] == '\0')
    {
      report_error (ctl, "a change requires a reason; give it with --why");
      return CTL_USAGE;
    }
  if (ops->needs_store && !open_store (ctl, arguments))
    return CTL_USAGE;
  result = ops->run (ctl, arguments->command_argc, arguments->command_argv);
  if (result == CTL_USAGE)
    report_error (ctl, "usage: siskinctl %s %s", name, ops->usage);
  if (result == CTL_UNAVAILABLE)
    report_error (ctl, "the store cannot be reached; nothing was changed: %s",
                  status_message ());
  return result;
}

/* Print the JSON result if it was requested, and free it.  */
static void
print_result (const ctl_t *ctl, int result)
{
  char *text;

  json_object_set_new (ctl->result, "exit", json_integer (result));
  if (ctl->is_json)
    {
      text = json_dumps (ctl->result, JSON_INDENT (2) | JSON_PRESERVE_ORDER);
      puts (text);
      free (text);
    }
  json_decref (ctl->result);
}

int
main (int argc, char **argv)
{
  const char *user = getenv ("USER");
  ctl_arguments_t arguments
      = { .who = user == NULL ? "unknown" : user, .why = "" };
  char *doc = describe_commands ();
  struct argp argp = { .options = options,
                       .parser = parse_option,
                       .args_doc = "COMMAND [ARGUMENT...]",
                       .doc = doc };
  ctl_t ctl = { 0 };
  pool_t *pool;
  int result;

  argp_err_exit_status = CTL_USAGE;
  argp_program_version = SISKIN_VERSION;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (arguments.store_count == 0 && getenv ("SISKIN_STORE") != NULL)
    arguments.stores[arguments.store_count++] = getenv ("SISKIN_STORE");
  curl_global_init (CURL_GLOBAL_DEFAULT);
  ctl.memory = talloc_new (NULL);
  ctl.clock = clock_create_system (ctl.memory);
  pool = pool_create (ctl.memory, 1, ctl.clock);
  ctl.worker = pool_worker (pool, 0);
  ctl.who = arguments.who;
  ctl.why = arguments.why;
  ctl.is_json = arguments.is_json;
  ctl.is_forced = arguments.is_forced;
  ctl.is_wait_enabled = !arguments.is_no_wait;
  ctl.result = json_object ();
  result = run_command (&ctl, &arguments);
  print_result (&ctl, result);
  if (ctl.store != NULL)
    ctl.store_ops->destroy (ctl.store);
  talloc_free (ctl.memory);
  talloc_free (doc);
  curl_global_cleanup ();
  return result;
}
