#ifndef SISKIN_CTL_REPORT_H
#define SISKIN_CTL_REPORT_H

#include "ctl/command.h"

/* Print a line to standard output, or nothing with --json.  */
void report_line (const ctl_t *ctl, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Report why the command failed, in either output format.  */
void report_error (ctl_t *ctl, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void report_findings (ctl_t *ctl, const findings_t *findings);
/* Set KEY of the JSON result, which is printed only with --json.  The result
   takes over the reference to VALUE.  */
void report_json_set (ctl_t *ctl, const char *key, json_t *value);
void report_json_set_text (ctl_t *ctl, const char *key, const char *value);
void report_json_set_number (ctl_t *ctl, const char *key, uint64_t value);
/* Parse a decimal number; returns false if it is malformed or out of range. */
bool report_parse_number (const char *text, uint64_t *value);

#endif
