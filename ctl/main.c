#include "ctl/command.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STORE_TIMEOUT_MS = 2000,
  MAX_STORES = 8
};

typedef struct ctl_arguments
{
  const char *stores[MAX_STORES + 1];
  unsigned store_count;
  const char *who;
  const char *why;
  bool is_json;
  int command_start;
} ctl_arguments_t;

static const struct argp_option options[] = {
  { "store", 's', "URL", 0, "Address of the key-value service; repeatable",
    0 },
  { "who", 'u', "NAME", 0, "Who makes the change", 0 },
  { "why", 'm', "TEXT", 0, "Why the change is made", 0 },
  { "json", 'j', NULL, 0, "Print results as JSON", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  ctl_arguments_t *arguments = state->input;

  switch (key)
    {
    case 's':
      if (arguments->store_count == MAX_STORES)
        argp_error (state, "more than %d stores", MAX_STORES);
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
    case ARGP_KEY_ARG:
      arguments->command_start = state->next - 1;
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static char *
describe_commands (void)
{
  char *text = talloc_strdup (NULL, "Operate siskinspur\vCommands:\n");
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

static int
run_command (ctl_t *ctl, const ctl_arguments_t *arguments, int argc,
             char **argv)
{
  const command_ops_t *ops = plugin_ops (PLUGIN_COMMAND, argv[0]);
  store_options_t store_options
      = { .urls = arguments->stores,
          .timeout = timespec_from_ms (STORE_TIMEOUT_MS) };
  int result;

  if (ops == NULL)
    {
      fprintf (stderr, "siskinctl: %s\n", status_message ());
      return CTL_USAGE;
    }
  if (ops->needs_store)
    {
      ctl->store_ops = plugin_ops (PLUGIN_STORE, "etcd");
      ctl->store = ctl->store_ops->create (ctl->worker, &store_options);
      if (ctl->store == NULL)
        {
          fprintf (stderr, "siskinctl: %s\n", status_message ());
          return CTL_USAGE;
        }
    }
  result = ops->run (ctl, argc, argv);
  if (result == CTL_USAGE)
    fprintf (stderr, "usage: siskinctl %s %s\n", argv[0], ops->usage);
  if (result == CTL_UNAVAILABLE)
    fprintf (stderr, "siskinctl: the store cannot be reached: %s\n",
             status_message ());
  return result;
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
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &arguments);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  ctl.memory = talloc_new (NULL);
  ctl.clock = clock_create_system (ctl.memory);
  pool = pool_create (ctl.memory, 1, ctl.clock);
  ctl.worker = pool_worker (pool, 0);
  ctl.who = arguments.who;
  ctl.why = arguments.why;
  ctl.is_json = arguments.is_json;
  result = run_command (&ctl, &arguments, argc - arguments.command_start,
                        argv + arguments.command_start);
  if (ctl.store != NULL)
    ctl.store_ops->destroy (ctl.store);
  talloc_free (ctl.memory);
  talloc_free (doc);
  curl_global_cleanup ();
  return result;
}
