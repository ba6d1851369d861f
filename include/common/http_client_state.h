#ifndef SISKIN_COMMON_HTTP_CLIENT_STATE_H
#define SISKIN_COMMON_HTTP_CLIENT_STATE_H

#include "common/http_client.h"

#include <curl/curl.h>
#include <sys/queue.h>

/* State shared by the source files of the HTTP client.  */

enum
{
  HTTP_ERROR_TEXT_BYTES = CURL_ERROR_SIZE
};

struct http_client
{
  worker_t *worker;
  CURLM *multi;
  worker_timer_t *timer;
  LIST_HEAD (, http_call) calls;
};

struct http_call
{
  LIST_ENTRY (http_call) link;
  http_client_t *client;
  CURL *easy;
  const http_call_ops_t *ops;
  void *data;
  struct curl_slist *headers;
  memory_holder_t memory; /* what the process itself asks for: never dropped */
  char *body;             /* NULL if it is shared */
  struct timespec send_timeout;
  struct timespec stall_timeout; /* zero: libcurl limits the whole call */
  worker_timer_t *timer;         /* with a stall timeout only */
  size_t body_bytes;             /* received so far */
  size_t checked_bytes;          /* of these, when the timer was started */
  http_head_t head;
  bool is_head_reported;
  size_t header_bytes; /* received so far, of header and trailer */
  bool is_paused;
  bool is_failed;   /* http_call_fail was called, or a header is malformed */
  bool is_finished; /* libcurl no longer uses the connection */
  bool is_never_resent;
  unsigned send_count; /* how often libcurl started to send the request */
  curl_socket_t fd;
  char error[HTTP_ERROR_TEXT_BYTES];
};

/* Report the end of CALL with STATUS and free it.  */
void http_call_finish (http_call_t *call, status_t status);

#endif
