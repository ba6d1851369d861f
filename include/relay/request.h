#ifndef SISKIN_RELAY_REQUEST_H
#define SISKIN_RELAY_REQUEST_H

#include "common/frame.h"
#include "common/http_header.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A client's request as parsed by an ingress.  Everything in it remains valid
   until its forward has ended.  */
typedef struct relay_request
{
  /* Chosen by the client; when the client itself sends a request again, it
     uses a new id.  The relay's attempts all use the same id.  */
  const char *id;
  /* METHOD, HOST, TARGET, HEADERS and BODY are forwarded unchanged.  */
  const char *method;
  const char *host;
  const char *target;
  const http_headers_t *headers; /* without those that the egress sets */
  blob_t body;
  const char *key; /* API key of the client's account; "" for none */
  bool has_client_timeout;
  /* How long the client waits from the arrival of the request.  */
  struct timespec client_timeout;
  bool has_last_event;
  /* The client already has the stream's events up to this id.  */
  int64_t last_event;
  uint64_t prompt_tokens;
  uint64_t output_tokens; /* upper bound */
  uint64_t hinted_tokens; /* client's estimate of the output; 0 for none */
  /* Ids of the parts of the prompt.  Other requests may share all of them,
     those of the same session or client also the last one.  */
  uint64_t *segments;
  unsigned segment_count;
} relay_request_t;

/* The reason why a client gets no upstream's response.  */
typedef enum relay_failure
{
  RELAY_NO_RULES,        /* no rules are known yet */
  RELAY_NO_ROUTE,        /* no route matches host and path */
  RELAY_NO_ACCOUNT,      /* the key is unknown or missing */
  RELAY_NOT_RUN,         /* no upstream has run the request or will */
  RELAY_OUTCOME_UNKNOWN, /* an upstream may have run the request */
  /* The deadline has passed; an upstream may have run the request.  */
  RELAY_TIMEOUT,
  RELAY_FAILURE_COUNT
} relay_failure_t;

const char *relay_failure_name (relay_failure_t failure);

#endif
