#include "common/http_client.h"
#include "ctl/report.h"
#include "kernel/plugin.h"

#include <errno.h>
#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 5000,
  MAX_ANSWER_BYTES = 4 * 1024 * 1024, /* a relay sends no more */
  MAX_KEY_BYTES = 1024,
  MS_PER_S = 1000,
  PERCENT = 100,
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404
};

/* The call to a relay.  */
typedef struct place_call
{
  ctl_t *ctl;
  char *answer;
  size_t answer_size;
  unsigned http_status;
  bool is_too_large;
  bool is_done;
  status_t status;
} place_call_t;

/* An argument of the form NAME=NUMBER.  */
typedef struct place_number
{
  const char *name;
  const char *field; /* of the question */
} place_number_t;

static const place_number_t numbers[] = {
  { "prompt", "prompt_tokens" },
  { "output", "output_tokens" },
  { "hint", "hinted_tokens" },
  { "timeout", "timeout_ms" },
};

/* Read the key of an account from the first line of the file NAME, - for
   standard input, into QUESTION.  */
static bool
place_read_key (ctl_t *ctl, const char *name, json_t *question)
{
  bool is_stdin = strcmp (name, "-") == 0;
  FILE *stream = is_stdin ? stdin : fopen (name, "r");
  char key[MAX_KEY_BYTES];
  bool is_read;

  if (stream == NULL)
    {
      report_error (ctl, "%s: %s", name, strerror (errno));
      return false;
    }
  is_read = fgets (key, sizeof key, stream) != NULL;
  if (!is_stdin)
    fclose (stream);
  if (is_read)
    {
      key[strcspn (key, "\r\n")] = '\0';
      is_read
          = key[0] != '\0'
            && json_object_set_new (question, "key", json_string (key)) == 0;
    }
  if (!is_read)
    report_error (ctl, "%s: the first line is no key", name);
  return is_read;
}

/* Set the field of QUESTION that the NAME_SIZE bytes at ARGUMENT name.  */
static bool
place_read_number (ctl_t *ctl, const char *argument, size_t name_size,
                   json_t *question)
{
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      uint64_t value;

      if (strlen (numbers[i].name) != name_size
          || strncmp (numbers[i].name, argument, name_size) != 0)
        continue;
      if (!report_parse_number (argument + name_size + 1, &value)
          || value > INT64_MAX)
        {
          report_error (ctl, "%s: not a number", argument);
          return false;
        }
      return json_object_set_new (question, numbers[i].field,
                                  json_integer ((json_int_t)value))
             == 0;
    }
  report_error (ctl, "%.*s: unknown argument", (int)name_size, argument);
  return false;
}

static bool
place_read_argument (ctl_t *ctl, const char *argument, json_t *question)
{
  const char *equals = strchr (argument, '=');

  /* The text of what may be a key by mistake is not repeated.  */
  if (equals == NULL)
    {
      report_error (ctl, "an argument after the path has no '='");
      return false;
    }
  if (strncmp (argument, "key-file=", strlen ("key-file=")) == 0)
    return place_read_key (ctl, equals + 1, question);
  return place_read_number (ctl, argument, (size_t)(equals - argument),
                            question);
}

static void
place_on_head (http_call_t *http_call, const http_head_t *head, void *data)
{
  place_call_t *call = data;

  (void)http_call;
  call->http_status = head->http_status;
}

static bool
place_on_data (http_call_t *http_call, const char *bytes, size_t size,
               void *data)
{
  place_call_t *call = data;
  char *grown;

  if (size > MAX_ANSWER_BYTES - call->answer_size)
    {
      call->is_too_large = true;
      http_call_fail (http_call);
      return true;
    }
  grown = talloc_realloc_size (call->ctl->memory, call->answer,
                               call->answer_size + size);
  if (grown == NULL)
    {
      http_call_fail (http_call);
      return true;
    }
  memcpy (grown + call->answer_size, bytes, size);
  call->answer = grown;
  call->answer_size += size;
  return true;
}

static void
place_on_done (http_call_t *http_call, status_t status, bool may_have_run,
               void *data)
{
  place_call_t *call = data;

  (void)http_call;
  (void)may_have_run;
  call->status = status;
  call->is_done = true;
}

static const http_call_ops_t place_call_ops = {
  .on_head = place_on_head,
  .on_data = place_on_data,
  .on_done = place_on_done,
};

/* Return the object that the relay at ADDRESS has replied to CALL, or NULL
   after reporting why there is none.  */
static json_t *
place_read_answer (const place_call_t *call, const char *address)
{
  json_t *answer;

  if (call->is_too_large)
    report_error (call->ctl, "%s: the answer is too large", address);
  else if (call->status != STATUS_OK)
    report_error (call->ctl, "%s: %s", address, status_message ());
  if (call->status != STATUS_OK)
    return NULL;
  if (call->http_status == HTTP_NOT_FOUND)
    {
      report_error (call->ctl, "%s: not the admin port of a relay", address);
      return NULL;
    }
  answer = json_loadb (call->answer == NULL ? "" : call->answer,
                       call->answer_size, 0, NULL);
  if (json_is_object (answer) && call->http_status == HTTP_OK)
    return answer;
  if (json_is_string (json_object_get (answer, "error")))
    report_error (call->ctl, "%s: %s", address,
                  json_string_value (json_object_get (answer, "error")));
  else
    report_error (call->ctl, "%s: malformed answer with status %u", address,
                  call->http_status);
  json_decref (answer);
  return NULL;
}

/* Ask the relay at ADDRESS.  Returns its answer, or NULL after reporting why
   there is none.  */
static json_t *
place_ask (ctl_t *ctl, const char *address, const json_t *question)
{
  place_call_t call = { .ctl = ctl };
  char *body = json_dumps (question, JSON_COMPACT);
  http_client_t *client = http_client_create (ctl->memory, ctl->worker);
  http_call_options_t options
      = { .method = "POST",
          .url = talloc_asprintf (ctl->memory, "http://%s/place", address),
          .content_type = "application/json",
          .body = body,
          .body_size = strlen (body),
          .timeout = timespec_from_ms (CALL_TIMEOUT_MS) };
  json_t *answer = NULL;

  if (client == NULL
      || http_call_start (client, &options, &place_call_ops, &call) == NULL)
    report_error (ctl, "%s: %s", address, status_message ());
  else
    {
      worker_run_until (ctl->worker, &call.is_done);
      answer = place_read_answer (&call, address);
    }
  if (client != NULL)
    http_client_destroy (client);
  free (body);
  return answer;
}

/* Return the string KEY of OBJECT, or "-" if there is none.  */
static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL || text[0] == '\0' ? "-" : text;
}

static double
number_of (const json_t *object, const char *key)
{
  return json_number_value (json_object_get (object, key));
}

/* Print what becomes of the request.  */
static void
place_print_verdict (const ctl_t *ctl, const json_t *answer)
{
  const char *action = text_of (answer, "action");

  if (strcmp (action, "send") == 0)
    report_line (ctl, "sent to %s, %s of %.0f candidates",
                 text_of (answer, "upstream"), text_of (answer, "reason"),
                 number_of (answer, "candidates"));
  else if (strcmp (action, "wait") == 0)
    report_line (ctl,
                 "waits: %s; for %.0f ms at most, then refused with "
                 "Retry-After %.3f",
                 text_of (answer, "why"),
                 number_of (answer, "longest_wait_ms"),
                 number_of (answer, "retry_after_ms") / MS_PER_S);
  else if (number_of (answer, "retry_after_ms") > 0)
    report_line (ctl, "refused: %s; Retry-After %.3f", text_of (answer, "why"),
                 number_of (answer, "retry_after_ms") / MS_PER_S);
  else
    report_line (ctl, "refused: %s", text_of (answer, "why"));
}

static void
place_print_request (const ctl_t *ctl, const json_t *answer)
{
  const json_t *queue = json_object_get (answer, "queue");
  const json_t *capacity = json_object_get (answer, "capacity");
  const json_t *class;
  size_t index;

  report_line (ctl, "route %s, service %s (%.0f%% of the route), account %s",
               text_of (answer, "route"), text_of (answer, "service"),
               number_of (answer, "service_share") * PERCENT,
               text_of (answer, "account"));
  report_line (ctl, "urgency %.0f%s, timeout %.0f ms, waited %.0f ms before",
               number_of (answer, "urgency"),
               json_is_true (json_object_get (answer, "late")) ? ", late" : "",
               number_of (answer, "timeout_ms"),
               number_of (answer, "waited_ms"));
  report_line (ctl, "expected work %.0f ms, %.1f events",
               number_of (answer, "work_ms"),
               number_of (answer, "expected_events"));
  report_line (ctl, "queue: %.0f before it, expected wait %.0f ms",
               number_of (queue, "before"),
               number_of (queue, "expected_wait_ms"));
  json_array_foreach (json_object_get (queue, "classes"), index, class)
    {
      if (number_of (class, "before") > 0)
        report_line (ctl, "  urgency %.0f: %.0f", number_of (class, "urgency"),
                     number_of (class, "before"));
    }
  report_line (ctl,
               "capacity: %.1f free, share of this relay %.1f, reserved %.1f, "
               "sent %.1f",
               number_of (capacity, "free"), number_of (capacity, "share"),
               number_of (answer, "reserve"), number_of (capacity, "sent"));
}

/* Return the number KEY of the capacity of UPSTREAM as text.  */
static const char *
capacity_text (const ctl_t *ctl, const json_t *upstream, const char *key)
{
  const json_t *capacity = json_object_get (upstream, "capacity");

  if (!json_is_object (capacity))
    return "-";
  return talloc_asprintf (ctl->memory, "%.1f", number_of (capacity, key));
}

static void
place_print_upstreams (const ctl_t *ctl, const json_t *answer)
{
  const json_t *upstream;
  size_t index;

  report_line (ctl, "%-24s %-16s %-8s %-10s %-12s %6s %6s %6s %10s %8s %6s",
               "UPSTREAM", "ZONE", "GROUP", "OBSTACLE", "PREFERENCE", "FREE",
               "SHARE", "SENT", "BACKLOG_MS", "SLOWDOWN", "AGE_MS");
  json_array_foreach (json_object_get (answer, "upstreams"), index, upstream)
    {
      report_line (
          ctl, "%-24s %-16s %-8s %-10s %-12s %6s %6s %6s %10.0f %8.2f %6.0f",
          text_of (upstream, "id"), text_of (upstream, "zone"),
          text_of (upstream, "group"), text_of (upstream, "obstacle"),
          text_of (upstream, "preference"),
          capacity_text (ctl, upstream, "free"),
          capacity_text (ctl, upstream, "share"),
          capacity_text (ctl, upstream, "sent"),
          number_of (upstream, "backlog_ms"), number_of (upstream, "slowdown"),
          number_of (upstream, "report_age_ms"));
    }
  if (number_of (answer, "omitted_upstreams") > 0)
    report_line (ctl, "%.0f more upstreams are not shown",
                 number_of (answer, "omitted_upstreams"));
}

static int
place_run (ctl_t *ctl, int argc, char **argv)
{
  json_t *question;
  json_t *answer = NULL;
  bool is_valid = true;

  if (argc < 4)
    return CTL_USAGE;
  question = json_pack ("{s:s,s:s}", "host", argv[2], "path", argv[3]);
  if (question == NULL)
    {
      report_error (ctl, "host and path must be UTF-8");
      return CTL_ERROR;
    }
  for (int i = 4; i < argc && is_valid; i++)
    is_valid = place_read_argument (ctl, argv[i], question);
  if (is_valid)
    answer = place_ask (ctl, argv[1], question);
  json_decref (question);
  if (answer == NULL)
    return CTL_ERROR;
  place_print_verdict (ctl, answer);
  if (json_object_get (answer, "route") != NULL)
    {
      place_print_request (ctl, answer);
      place_print_upstreams (ctl, answer);
    }
  report_json_set (ctl, "placement", answer);
  return CTL_OK;
}

static const command_ops_t place_ops = {
  .usage = "ADDRESS:PORT HOST PATH [prompt=TOKENS] [output=TOKENS] "
           "[hint=TOKENS] [timeout=MS] [key-file=FILE]",
  .run = place_run,
};

PLUGIN_REGISTER (place, PLUGIN_COMMAND, "place",
                 "show where the relay with this admin port would send a "
                 "request now, and why, without sending it",
                 &place_ops);
