#ifndef SISKIN_CTL_LOG_RECORD_H
#define SISKIN_CTL_LOG_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>
#include <talloc.h>

/* A parsed log line.  */
typedef struct log_record
{
  TAILQ_ENTRY (log_record) link;
  int64_t time_ms; /* since the Unix epoch */
  char *program;
  char *name; /* name of the process */
  char *event;
  char *details; /* key=value pairs after the event */
} log_record_t;

typedef TAILQ_HEAD (log_record_list, log_record) log_record_list_t;

/* Insert into RECORDS, ordered by time, the log lines of STREAM that are about
   the request REQUEST, a request id, or about no request at all.  REQUEST must
   not be NULL.  Lines that are not log lines of siskinspur are skipped.  The
   records are owned by PARENT.  Returns false if reading fails.  */
bool log_record_read (TALLOC_CTX *parent, FILE *stream, const char *request,
                      log_record_list_t *records);
char *log_record_get_field (TALLOC_CTX *parent, const log_record_t *record,
                            const char *name);
bool log_record_matches_request (const log_record_t *record,
                                 const char *request);

#endif
