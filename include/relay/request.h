#ifndef SISKIN_RELAY_REQUEST_H
#define SISKIN_RELAY_REQUEST_H

#include "common/frame.h"
#include "common/http_header.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A client's request as an ingress has read it.  Everything in it is valid
   until the forward that it becomes has ended.  */
typedef struct relay_request
{
  const char *id; /* the client's own, one for each of its attempts */
  const char
      *method; /* with HOST, TARGET, HEADERS and BODY: passed on as is */
  const char *host;
  const char *target;
  const http_headers_t *headers; /* without those that the egress sets */
  blob_t body;
  const char *key; /* of the client's account, "" for none */
  bool has_client_timeout;
  struct timespec patience; /* how long the client will wait from now on */
  bool has_last_event;
  int64_t last_event; /* the client has a stream's events up to this one */
  uint64_t prompt_tokens;
  uint64_t output_tokens; /* at most */
} relay_request_t;

/* What a request is refused or ended with when no upstream's answer is passed
   on.  */
typedef enum relay_failure
{
  RELAY_NO_RULES,        /* no rules are known yet */
  RELAY_NO_ROUTE,        /* no route for host and path */
  RELAY_NO_ACCOUNT,      /* a key that nobody holds, or none */
  RELAY_NOT_RUN,         /* no upstream ran it, and none will */
  RELAY_OUTCOME_UNKNOWN, /* an upstream may have run it */
  RELAY_TIMEOUT,         /* the time is up; an upstream may have run it */
  RELAY_FAILURE_COUNT
} relay_failure_t;

const char *relay_failure_name (relay_failure_t failure);

#endif
