#include "ctl/log_record.h"
#include "ctl/report.h"
#include "kernel/plugin.h"

#include <errno.h>
#include <string.h>

enum
{
  MAX_UPSTREAMS = 16,
  MAX_CONTEXT_RECORDS = 8 /* printed from before the request */
};

/* Log records about one request and about the state that may have affected
   it.  */
typedef struct timeline
{
  ctl_t *ctl;
  const char *request;
  log_record_list_t records;            /* sorted by time */
  const log_record_t *first;            /* first record about the request */
  const log_record_t *last;             /* last record about the request */
  const char *upstreams[MAX_UPSTREAMS]; /* upstreams it was sent to */
  unsigned upstream_count;
  const char *segment; /* that it was blamed for; NULL for none */
  json_t *json_lines;  /* array of the printed lines */
} timeline_t;

/* Read COUNT FILES, or standard input if COUNT is 0.  Reports each file that
   cannot be read; returns true if all were read.  */
static bool
timeline_read (timeline_t *timeline, int count, char **files)
{
  bool is_read = true;

  if (count == 0)
    return log_record_read (timeline->ctl->memory, stdin, timeline->request,
                            &timeline->records);
  for (int i = 0; i < count; i++)
    {
      FILE *stream = fopen (files[i], "r");

      if (stream == NULL
          || !log_record_read (timeline->ctl->memory, stream,
                               timeline->request, &timeline->records))
        {
          report_error (timeline->ctl, "%s: %s", files[i], strerror (errno));
          is_read = false;
        }
      if (stream != NULL)
        fclose (stream);
    }
  return is_read;
}

static bool
timeline_has_upstream (const timeline_t *timeline, const char *upstream)
{
  for (unsigned i = 0; i < timeline->upstream_count; i++)
    {
      if (strcmp (timeline->upstreams[i], upstream) == 0)
        return true;
    }
  return false;
}

/* Find the first and the last record of the request and the upstreams that it
   was sent to.  */
static void
timeline_scan (timeline_t *timeline)
{
  const log_record_t *record;

  TAILQ_FOREACH (record, &timeline->records, link)
    {
      const char *upstream;

      if (!log_record_matches_request (record, timeline->request))
        continue;
      if (timeline->first == NULL)
        timeline->first = record;
      timeline->last = record;
      if (strcmp (record->event, "held-back") == 0)
        timeline->segment
            = log_record_get_field (timeline->ctl->memory, record, "segment");
      upstream
          = log_record_get_field (timeline->ctl->memory, record, "upstream");
      if (upstream != NULL && !timeline_has_upstream (timeline, upstream)
          && timeline->upstream_count < MAX_UPSTREAMS)
        timeline->upstreams[timeline->upstream_count++] = upstream;
    }
}

/* Return whether RECORD, which names no request, may have affected the
   request.  For the process that handled the request, this holds for all
   records except those that name no group and are about upstreams that the
   request was not sent to.  For other programs, such as a pilot, it holds only
   for records about a group, except group-changed and those that name an
   upstream.  */
static bool
timeline_is_relevant (const timeline_t *timeline, const log_record_t *record)
{
  const char *upstream
      = log_record_get_field (timeline->ctl->memory, record, "upstream");
  bool has_group
      = log_record_get_field (timeline->ctl->memory, record, "group") != NULL;

  if (strcmp (record->name, timeline->first->name) == 0)
    return upstream == NULL || has_group
           || timeline_has_upstream (timeline, upstream);
  return has_group && upstream == NULL
         && strcmp (record->program, timeline->first->program) != 0
         && strcmp (record->event, "group-changed") != 0;
}

/* Print RECORD with its offset from the first record of the request.  LABEL is
   "why" for what the request was held back for, "knew" for state from before
   the request, "sees" for state that changed while it ran, and blank for
   records of the request itself.  */
static void
timeline_print_record (const timeline_t *timeline, const log_record_t *record,
                       const char *label)
{
  long long offset = (long long)(record->time_ms - timeline->first->time_ms);

  report_line (timeline->ctl, "%+8lld ms %s %s %s %s", offset, label,
               record->name, record->event, record->details);
  json_array_append_new (timeline->json_lines,
                         json_pack ("{s:I,s:s,s:s,s:s}", "offset_ms",
                                    (json_int_t)offset, "name", record->name,
                                    "event", record->event, "details",
                                    record->details));
}

/* Return whether RECORD says why the segment is blamed for crashes that the
   request was held back for.  */
static bool
timeline_is_evidence (const timeline_t *timeline, const log_record_t *record)
{
  const char *segment;

  if (timeline->segment == NULL
      || strcmp (record->name, timeline->first->name) != 0)
    return false;
  segment = log_record_get_field (timeline->ctl->memory, record, "segment");
  return segment != NULL && strcmp (segment, timeline->segment) == 0
         && !log_record_matches_request (record, timeline->request);
}

/* Print the records from before the request, however old, that say why it was
   held back.  */
static void
timeline_print_evidence (const timeline_t *timeline)
{
  const log_record_t *record;

  TAILQ_FOREACH (record, &timeline->records, link)
    {
      if (record == timeline->first)
        return;
      if (timeline_is_evidence (timeline, record))
        timeline_print_record (timeline, record, "why ");
    }
}

/* Print the last MAX_CONTEXT_RECORDS relevant records from before the request,
   oldest first.  */
static void
timeline_print_context (const timeline_t *timeline)
{
  const log_record_t *context[MAX_CONTEXT_RECORDS];
  unsigned count = 0;
  const log_record_t *record = timeline->first;

  while (count < MAX_CONTEXT_RECORDS
         && (record = TAILQ_PREV (record, log_record_list, link)) != NULL)
    {
      if (timeline_is_relevant (timeline, record)
          && !timeline_is_evidence (timeline, record))
        context[count++] = record;
    }
  while (count > 0)
    timeline_print_record (timeline, context[--count], "knew");
}

/* Print the records of the request and the relevant ones in between.  */
static void
timeline_print_records (const timeline_t *timeline)
{
  const log_record_t *record;

  for (record = timeline->first; record != NULL;
       record = TAILQ_NEXT (record, link))
    {
      if (log_record_matches_request (record, timeline->request))
        timeline_print_record (timeline, record, "    ");
      else if (timeline_is_relevant (timeline, record))
        timeline_print_record (timeline, record, "sees");
      if (record == timeline->last)
        return;
    }
}

static bool
is_end_of_request (const log_record_t *record)
{
  return strcmp (record->event, "answer-ended") == 0
         || strcmp (record->event, "request-failed") == 0
         || strcmp (record->event, "client-left") == 0;
}

/* Return whether the log is incomplete, after reporting why: the process that
   handled the request dropped log lines, or no record shows how the request
   ended.  */
static bool
timeline_is_incomplete (const timeline_t *timeline)
{
  const log_record_t *record;
  bool has_end = false;

  for (record = timeline->first; record != NULL;
       record = TAILQ_NEXT (record, link))
    {
      if (strcmp (record->name, timeline->first->name) != 0)
        continue;
      has_end = has_end
                || (log_record_matches_request (record, timeline->request)
                    && is_end_of_request (record));
      if (strcmp (record->event, "lines-left-out") == 0
          && record->time_ms <= timeline->last->time_ms)
        {
          report_line (timeline->ctl, "lines are missing: %s",
                       record->details);
          return true;
        }
    }
  if (!has_end)
    report_line (timeline->ctl,
                 "lines are missing: none shows how the request "
                 "ended; the process may have stopped before");
  return !has_end;
}

static int
explain_run (ctl_t *ctl, int argc, char **argv)
{
  timeline_t timeline = { .ctl = ctl };

  if (argc < 2)
    return CTL_USAGE;
  timeline.request = argv[1];
  TAILQ_INIT (&timeline.records);
  if (!timeline_read (&timeline, argc - 2, argv + 2))
    return CTL_ERROR;
  timeline_scan (&timeline);
  if (timeline.first == NULL)
    {
      report_error (ctl, "no log line mentions request %s", timeline.request);
      return CTL_ERROR;
    }
  timeline.json_lines = json_array ();
  timeline_print_evidence (&timeline);
  timeline_print_context (&timeline);
  timeline_print_records (&timeline);
  report_json_set (ctl, "story", timeline.json_lines);
  return timeline_is_incomplete (&timeline) ? CTL_INCOMPLETE : CTL_OK;
}

static const command_ops_t explain_ops = {
  .usage = "REQUEST [FILE]...",
  .run = explain_run,
};

PLUGIN_REGISTER (explain, PLUGIN_COMMAND, "explain",
                 "show the timeline of a request from log files, by default "
                 "from standard input",
                 &explain_ops);
