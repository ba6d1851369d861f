#include "ctl/report.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/* Print a line for people; nothing with --json.  */
void
report_line (const ctl_t *ctl, const char *format, ...)
{
  va_list arguments;

  if (ctl->is_json)
    return;
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  putchar ('\n');
}

/* Say why the command did not do what was asked, on the error stream or, with
   --json, under "error".  */
void
report_error (ctl_t *ctl, const char *format, ...)
{
  va_list arguments;
  char *message;

  va_start (arguments, format);
  message = talloc_vasprintf (ctl->memory, format, arguments);
  va_end (arguments);
  report_set_text (ctl, "error", message);
  if (!ctl->is_json)
    fprintf (stderr, "siskinctl: %s\n", message);
}

/* Print FINDINGS, or put them under "findings".  */
void
report_findings (ctl_t *ctl, const findings_t *findings)
{
  json_t *list = json_array ();
  const finding_t *finding;

  if (!ctl->is_json)
    findings_print (findings, stderr);
  for (finding = findings_first (findings); finding != NULL;
       finding = STAILQ_NEXT (finding, link))
    json_array_append_new (
        list, json_pack ("{s:s,s:i,s:i,s:s}", "file", finding->file, "line",
                         (int)finding->line, "column", (int)finding->column,
                         "message", finding->message));
  report_set (ctl, "findings", list);
}

/* Put VALUE, whose reference is taken, under KEY of the JSON result.  */
void
report_set (ctl_t *ctl, const char *key, json_t *value)
{
  json_object_set_new (ctl->result, key, value);
}

/* Put a string under KEY of the JSON result.  */
void
report_set_text (ctl_t *ctl, const char *key, const char *value)
{
  report_set (ctl, key, json_string (value));
}

/* Put a number under KEY of the JSON result.  */
void
report_set_number (ctl_t *ctl, const char *key, uint64_t value)
{
  report_set (ctl, key, json_integer ((json_int_t)value));
}

/* Read TEXT, decimal digits only, into *VALUE.  */
bool
report_parse_number (const char *text, uint64_t *value)
{
  char *rest;

  errno = 0;
  if (text[0] < '0' || text[0] > '9')
    return false;
  *value = strtoull (text, &rest, 10);
  return *rest == '\0' && errno == 0;
}
