#include "ctl/log_record.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  MS_PER_S = 1000
};

/* Return the value of the first pair NAME=value in TEXT, without its quotes,
   owned by PARENT, or NULL.  */
static char *
find_pair (TALLOC_CTX *parent, const char *text, const char *name)
{
  size_t size = strlen (name);
  const char *found = text;

  while ((found = strstr (found, name)) != NULL)
    {
      bool is_pair_start = found == text || found[-1] == ' ';

      found += size;
      if (!is_pair_start || *found != '=')
        continue;
      found++;
      if (*found == '"')
        return talloc_strndup (parent, found + 1, strcspn (found + 1, "\"\n"));
      return talloc_strndup (parent, found, strcspn (found, " \n"));
    }
  return NULL;
}

/* Parse a time such as "2026-02-28T14:04:18.301Z".  Returns milliseconds since
   the Unix epoch, or -1 when TEXT is malformed.  */
static int64_t
parse_time (const char *text)
{
  struct tm utc = { 0 };
  const char *end = strptime (text, "%Y-%m-%dT%H:%M:%S", &utc);

  if (end == NULL || *end != '.')
    return -1;
  return (int64_t)timegm (&utc) * MS_PER_S + strtol (end + 1, NULL, 10);
}

/* Parse LINE into a record, ignoring a prefix that a log collector added.
   Returns NULL when it is not a log line of siskinspur.  */
static log_record_t *
parse_line (TALLOC_CTX *parent, const char *line)
{
  const char *start = strstr (line, "time=");
  const char *details;
  log_record_t *record;
  char *time_text;

  if (start == NULL)
    return NULL;
  record = talloc_zero (parent, log_record_t);
  time_text = find_pair (record, start, "time");
  record->program = find_pair (record, start, "program");
  record->name = find_pair (record, start, "name");
  record->event = find_pair (record, start, "event");
  details = strstr (start, " event=");
  record->time_ms = time_text == NULL ? -1 : parse_time (time_text);
  if (record->time_ms < 0 || record->program == NULL || record->name == NULL
      || record->event == NULL)
    {
      talloc_free (record);
      return NULL;
    }
  details += strcspn (details + 1, " \n") + 1;
  details += strspn (details, " ");
  record->details = talloc_strndup (record, details, strcspn (details, "\n"));
  return record;
}

/* Search from the end, because records arrive file by file and ordered by time
   within each file.  */
static void
insert_by_time (log_record_list_t *records, log_record_t *record)
{
  log_record_t *previous = TAILQ_LAST (records, log_record_list);

  while (previous != NULL && previous->time_ms > record->time_ms)
    previous = TAILQ_PREV (previous, log_record_list, link);
  if (previous == NULL)
    TAILQ_INSERT_HEAD (records, record, link);
  else
    TAILQ_INSERT_AFTER (records, previous, record, link);
}

/* Return whether RECORD is about the request with the id REQUEST.  */
bool
log_record_matches_request (const log_record_t *record, const char *request)
{
  char *id = find_pair (NULL, record->details, "request");
  bool is_same = id != NULL && strcmp (id, request) == 0;

  talloc_free (id);
  return is_same;
}

/* Return the value of the field NAME of RECORD, owned by PARENT, or NULL.  */
char *
log_record_get_field (TALLOC_CTX *parent, const log_record_t *record,
                      const char *name)
{
  return find_pair (parent, record->details, name);
}

/* Insert into RECORDS, ordered by time, the log lines of STREAM that are about
   REQUEST or about no request at all.  The records are owned by PARENT.
   Returns false when reading fails.  */
bool
log_record_read (TALLOC_CTX *parent, FILE *stream, const char *request,
                 log_record_list_t *records)
{
  char *line = NULL;
  size_t size = 0;

  while (getline (&line, &size, stream) >= 0)
    {
      log_record_t *record = parse_line (parent, line);
      char *id;

      if (record == NULL)
        continue;
      id = find_pair (record, record->details, "request");
      if (id == NULL || strcmp (id, request) == 0)
        insert_by_time (records, record);
      else
        talloc_free (record);
    }
  free (line);
  return ferror (stream) == 0;
}
