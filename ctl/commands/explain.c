#include "ctl/log_record.h"
#include "ctl/report.h"
#include "kernel/plugin.h"

#include <errno.h>
#include <string.h>

enum
{
  MOST_UPSTREAMS = 16,
  LAST_BELIEFS = 8 /* from before the request */
};

/* A request's story as far as the logs tell it.  */
typedef struct story
{
  ctl_t *ctl;
  const char *request;
  log_record_list_t records;
  const log_record_t *first; /* of the request */
  const log_record_t *last;
  const char *upstreams[MOST_UPSTREAMS]; /* that it was sent to */
  unsigned upstream_count;
  json_t *lines;
} story_t;

static bool
story_read (story_t *story, int count, char **files)
{
  bool is_read = true;

  if (count == 0)
    return log_record_read (story->ctl->memory, stdin, story->request,
                            &story->records);
  for (int i = 0; i < count; i++)
    {
      FILE *stream = fopen (files[i], "r");

      if (stream == NULL
          || !log_record_read (story->ctl->memory, stream, story->request,
                               &story->records))
        {
          report_error (story->ctl, "%s: %s", files[i], strerror (errno));
          is_read = false;
        }
      if (stream != NULL)
        fclose (stream);
    }
  return is_read;
}

static bool
story_knows (const story_t *story, const char *upstream)
{
  for (unsigned i = 0; i < story->upstream_count; i++)
    {
      if (strcmp (story->upstreams[i], upstream) == 0)
        return true;
    }
  return false;
}

/* Find where the request's story begins and ends, and where it was sent.  */
static void
story_survey (story_t *story)
{
  const log_record_t *record;

  TAILQ_FOREACH (record, &story->records, link)
    {
      const char *upstream;

      if (!log_record_matches_request (record, story->request))
        continue;
      if (story->first == NULL)
        story->first = record;
      story->last = record;
      upstream = log_record_get_field (story->ctl->memory, record, "upstream");
      if (upstream != NULL && !story_knows (story, upstream)
          && story->upstream_count < MOST_UPSTREAMS)
        story->upstreams[story->upstream_count++] = upstream;
    }
}

/* Return whether RECORD may have mattered: what the process that had the
   request came to believe of an upstream that it was sent to, of a group or of
   anything else; or what another program, like a pilot, says of a group.  */
static bool
story_concerns (const story_t *story, const log_record_t *record)
{
  const char *upstream
      = log_record_get_field (story->ctl->memory, record, "upstream");
  bool is_group
      = log_record_get_field (story->ctl->memory, record, "group") != NULL;

  if (strcmp (record->name, story->first->name) == 0)
    return upstream == NULL || is_group || story_knows (story, upstream);
  return is_group && upstream == NULL
         && strcmp (record->program, story->first->program) != 0
         && strcmp (record->event, "group-changed") != 0;
}

static void
story_print (const story_t *story, const log_record_t *record,
             const char *mark)
{
  long long offset = (long long)(record->at_ms - story->first->at_ms);

  report_line (story->ctl, "%+8lld ms %s %s %s %s", offset, mark, record->name,
               record->event, record->details);
  json_array_append_new (story->lines,
                         json_pack ("{s:I,s:s,s:s,s:s}", "offset_ms",
                                    (json_int_t)offset, "name", record->name,
                                    "event", record->event, "details",
                                    record->details));
}

/* Print the newest beliefs from before the request, oldest first.  A newer one
   of the same kind about the same thing takes the place of an older.  */
static void
story_print_beliefs (const story_t *story)
{
  const log_record_t *newest[LAST_BELIEFS];
  unsigned count = 0;
  const log_record_t *record = story->first;

  while (count < LAST_BELIEFS
         && (record = TAILQ_PREV (record, log_record_list, link)) != NULL)
    {
      if (story_concerns (story, record))
        newest[count++] = record;
    }
  while (count > 0)
    story_print (story, newest[--count], "knew");
}

static void
story_print_lines (const story_t *story)
{
  const log_record_t *record;

  for (record = story->first; record != NULL;
       record = TAILQ_NEXT (record, link))
    {
      if (log_record_matches_request (record, story->request))
        story_print (story, record, "    ");
      else if (story_concerns (story, record))
        story_print (story, record, "sees");
      if (record == story->last)
        return;
    }
}

static bool
is_end (const log_record_t *record)
{
  return strcmp (record->event, "answer-ended") == 0
         || strcmp (record->event, "request-failed") == 0
         || strcmp (record->event, "client-left") == 0;
}

/* Return whether lines of the relay that had the request were left out, or
   none says how the request ended.  */
static bool
story_is_incomplete (const story_t *story)
{
  const log_record_t *record;
  bool has_end = false;

  for (record = story->first; record != NULL;
       record = TAILQ_NEXT (record, link))
    {
      if (strcmp (record->name, story->first->name) != 0)
        continue;
      has_end = has_end
                || (log_record_matches_request (record, story->request)
                    && is_end (record));
      if (strcmp (record->event, "lines-left-out") == 0
          && record->at_ms <= story->last->at_ms)
        {
          report_line (story->ctl, "lines are missing: %s", record->details);
          return true;
        }
    }
  if (!has_end)
    report_line (story->ctl, "lines are missing: none says how the request "
                             "ended; the process may have ended first");
  return !has_end;
}

static int
explain_run (ctl_t *ctl, int argc, char **argv)
{
  story_t story = { .ctl = ctl };

  if (argc < 2)
    return CTL_USAGE;
  story.request = argv[1];
  TAILQ_INIT (&story.records);
  if (!story_read (&story, argc - 2, argv + 2))
    return CTL_ERROR;
  story_survey (&story);
  if (story.first == NULL)
    {
      report_error (ctl, "no line is about request %s", story.request);
      return CTL_ERROR;
    }
  story.lines = json_array ();
  story_print_beliefs (&story);
  story_print_lines (&story);
  report_set (ctl, "story", story.lines);
  return story_is_incomplete (&story) ? CTL_INCOMPLETE : CTL_OK;
}

static const command_ops_t explain_ops = {
  .usage = "REQUEST [FILE]...",
  .run = explain_run,
};

PLUGIN_REGISTER (explain, PLUGIN_COMMAND, "explain",
                 "tell a request's story from logs, by default on standard "
                 "input",
                 &explain_ops);
