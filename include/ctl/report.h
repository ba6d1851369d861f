#ifndef SISKIN_CTL_REPORT_H
#define SISKIN_CTL_REPORT_H

#include "ctl/command.h"

void report_line (const ctl_t *ctl, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void report_error (ctl_t *ctl, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void report_findings (ctl_t *ctl, const findings_t *findings);
void report_json_set (ctl_t *ctl, const char *key, json_t *value);
void report_json_set_text (ctl_t *ctl, const char *key, const char *value);
void report_json_set_number (ctl_t *ctl, const char *key, uint64_t value);
bool report_parse_number (const char *text, uint64_t *value);

#endif
