#include "ctl/log_record.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  MS_PER_S = 1000
};

/* Return the value of the pair NAME in TEXT, without its quotes, or NULL.  */
static char *
find_pair (TALLOC_CTX *parent, const char *text, const char *name)
{
  size_t size = strlen (name);
  const char *found = text;

  while ((found = strstr (found, name)) != NULL)
    {
      bool starts = found == text || found[-1] == ' ';

      found += size;
      if (!starts || *found != '=')
        continue;
      found++;
      if (*found == '"')
        return talloc_strndup (parent, found + 1, strcspn (found + 1, "\"\n"));
      return talloc_strndup (parent, found, strcspn (found, " \n"));
    }
  return NULL;
}

/* Read "2026-02-28T14:04:18.301Z".  Returns -1 if TEXT is something else.  */
static int64_t
parse_time (const char *text)
{
  struct tm utc = { 0 };
  const char *rest = strptime (text, "%Y-%m-%dT%H:%M:%S", &utc);

  if (rest == NULL || *rest != '.')
    return -1;
  return (int64_t)timegm (&utc) * MS_PER_S + strtol (rest + 1, NULL, 10);
}

/* Make a record of LINE.  What a collector put in front is left out.  Returns
   NULL when it is no line of our programs.  */
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
  record->at_ms = time_text == NULL ? -1 : parse_time (time_text);
  if (record->at_ms < 0 || record->program == NULL || record->name == NULL
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

/* Files come one after the other, each in the order of time.  */
static void
insert_by_time (log_record_list_t *records, log_record_t *record)
{
  log_record_t *before = TAILQ_LAST (records, log_record_list);

  while (before != NULL && before->at_ms > record->at_ms)
    before = TAILQ_PREV (before, log_record_list, link);
  if (before == NULL)
    TAILQ_INSERT_HEAD (records, record, link);
  else
    TAILQ_INSERT_AFTER (records, before, record, link);
}

/* Return whether RECORD is about the request of the id REQUEST.  */
bool
log_record_matches_request (const log_record_t *record, const char *request)
{
  char *id = find_pair (NULL, record->details, "request");
  bool is_same = id != NULL && strcmp (id, request) == 0;

  talloc_free (id);
  return is_same;
}

/* Return the value of the pair NAME of RECORD, or NULL.  */
char *
log_record_get_field (TALLOC_CTX *parent, const log_record_t *record,
                      const char *name)
{
  return find_pair (parent, record->details, name);
}

/* Add the lines of STREAM to RECORDS, in the order of time: those of REQUEST
   and those of no request.  Returns false when reading fails.  */
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
