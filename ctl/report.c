#include "ctl/report.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/* Print a line to standard output; with --json print nothing.  */
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

/* Report why the command failed: on standard error, and under "error" of the
   JSON result.  */
void
report_error (ctl_t *ctl, const char *format, ...)
{
  va_list arguments;
  char *message;

  va_start (arguments, format);
  message = talloc_vasprintf (ctl->memory, format, arguments);
  va_end (arguments);
  report_json_set_text (ctl, "error", message);
  if (!ctl->is_json)
    fprintf (stderr, "siskinctl: %s\n", message);
}

/* Put FINDINGS under "findings" of the JSON result, and print them to standard
   error without --json.  */
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
  report_json_set (ctl, "findings", list);
}

/* Put VALUE under KEY of the JSON result, which takes over the reference to
   it.  */
void
report_json_set (ctl_t *ctl, const char *key, json_t *value)
{
  json_object_set_new (ctl->result, key, value);
}

/* Put a string under KEY of the JSON result.  */
void
report_json_set_text (ctl_t *ctl, const char *key, const char *value)
{
  report_json_set (ctl, key, json_string (value));
}

/* Put a number under KEY of the JSON result.  */
void
report_json_set_number (ctl_t *ctl, const char *key, uint64_t value)
{
  report_json_set (ctl, key, json_integer ((json_int_t)value));
}

/* Parse TEXT, which must start with a decimal digit, as a decimal number into
 *VALUE.  Returns false when it is malformed or out of range.  */
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
