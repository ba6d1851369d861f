#ifndef SISKIN_CTL_LOG_RECORD_H
#define SISKIN_CTL_LOG_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>
#include <talloc.h>

/* One line of a log.  */
typedef struct log_record
{
  TAILQ_ENTRY (log_record) link;
  int64_t at_ms; /* time of day, since 1970 */
  char *program;
  char *name; /* of the process */
  char *event;
  char *details; /* the pairs that follow the event */
} log_record_t;

typedef TAILQ_HEAD (log_record_list, log_record) log_record_list_t;

bool log_record_read (TALLOC_CTX *parent, FILE *stream, const char *request,
                      log_record_list_t *records);
char *log_record_get_field (TALLOC_CTX *parent, const log_record_t *record,
                            const char *name);
bool log_record_matches_request (const log_record_t *record,
                                 const char *request);

#endif
