#ifndef SISKIN_PLUGINS_UPSTREAM_REPORT_H
#define SISKIN_PLUGINS_UPSTREAM_REPORT_H

#include "plugins/upstream.h"

#include <talloc.h>

bool upstream_report_parse (TALLOC_CTX *parent, const char *text, size_t size,
                            upstream_report_t *report);

#endif
