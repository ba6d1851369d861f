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
  STORE_TIMEOUT_MS = 2000,
  MAX_STORES = 8,
  MAX_WORDS = 16,
  KEY_FORCE = 0x100,
  KEY_NO_WAIT
};

typedef struct ctl_arguments
{
  const char *stores[MAX_STORES + 1];
  unsigned store_count;
  const char *who;
  const char *why;
  bool is_json;
  bool is_forced;
  bool is_impatient;
  char *words[MAX_WORDS]; /* the command and its arguments */
  int word_count;
} ctl_arguments_t;

static const struct argp_option options[] = {
  { "store", 's', "URL", 0,
    "Address of the key-value service; repeatable; by default that in "
    "SISKIN_STORE",
    0 },
  { "who", 'u', "NAME", 0, "Who makes the change", 0 },
  { "why", 'm', "TEXT", 0, "Why the change is made", 0 },
  { "json", 'j', NULL, 0, "Print the result as one JSON object", 0 },
  { "force", KEY_FORCE, NULL, 0,
    "Leave a service without upstreams if need be", 0 },
  { "no-wait", KEY_NO_WAIT, NULL, 0,
    "Don't wait until the processes confirm a change", 0 },
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
    case KEY_FORCE:
      arguments->is_forced = true;
      return 0;
    case KEY_NO_WAIT:
      arguments->is_impatient = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->word_count == MAX_WORDS)
        argp_error (state, "more than %d arguments", MAX_WORDS);
      arguments->words[arguments->word_count++] = argument;
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

static int
run_command (ctl_t *ctl, ctl_arguments_t *arguments)
{
  const char *name = arguments->words[0];
  const command_ops_t *ops = plugin_ops (PLUGIN_COMMAND, name);
  int result;

  if (ops == NULL)
    {
      report_error (ctl, "%s", status_message ());
      return CTL_USAGE;
    }
  if (ops->needs_reason && ctl->why[0] == '\0')
    {
      report_error (ctl, "say why with --why, for those who come after you");
      return CTL_USAGE;
    }
  if (ops->needs_store && !open_store (ctl, arguments))
    return CTL_USAGE;
  result = ops->run (ctl, arguments->word_count, arguments->words);
  if (result == CTL_USAGE)
    report_error (ctl, "usage: siskinctl %s %s", name, ops->usage);
  if (result == CTL_UNAVAILABLE)
    report_error (ctl, "the store cannot be reached, nothing was changed: %s",
                  status_message ());
  return result;
}

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
  ctl.waits = !arguments.is_impatient;
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
