#ifndef SISKIN_COMMON_HTTP_EXCHANGE_H
#define SISKIN_COMMON_HTTP_EXCHANGE_H

#include "common/http_server.h"

#include <microhttpd.h>
#include <sys/queue.h>

/* What the server and its exchanges share.  */
typedef struct reply_chunk
{
  STAILQ_ENTRY (reply_chunk) link;
  size_t size;
  size_t taken;
  char data[];
} reply_chunk_t;

/* A caller's connection, from its start to its end.  */
typedef struct http_channel
{
  LIST_ENTRY (http_channel) link;
  http_server_t *server;
  struct MHD_Connection *connection;
  unsigned exchanges; /* under way: 0 or 1 */
} http_channel_t;

struct http_server
{
  worker_t *worker;
  const http_server_ops_t *ops;
  void *data;
  http_server_limits_t limits;
  bool closes_idle;
  struct MHD_Daemon *daemon;
  struct tevent_fd *event;
  worker_timer_t *timer;
  worker_timer_t *kick; /* armed while exchanges are to be resumed */
  LIST_HEAD (, http_channel) channels;
  LIST_HEAD (, http_exchange) suspended;
  LIST_HEAD (, http_exchange) resuming;
  uint16_t port;
  MHD_socket listen_fd;
  unsigned open_exchanges;
};

struct http_exchange
{
  LIST_ENTRY (http_exchange)
  suspended_link; /* while is_suspended, and until
                     it is resumed */
  http_server_t *server;
  struct MHD_Connection *connection;
  http_channel_t *channel;
  void *data;
  http_headers_t headers; /* filled when they are first asked for */
  bool has_headers;
  char *method;
  char *target;
  char *path;
  char *body;
  size_t body_size;
  bool is_too_large;  /* the body */
  bool is_head_large; /* the request line and header fields */
  bool is_dispatched;
  bool is_suspended;
  bool is_begun;  /* the reply's status is known */
  bool is_queued; /* the reply is with libmicrohttpd */
  bool is_ended;
  bool is_aborted;
  bool is_gone;
  struct MHD_Response *response; /* until it is queued */
  unsigned http_status;
  bool has_length;
  uint64_t length; /* of the reply's body */
  struct tevent_fd *hangup_event;
  worker_timer_t *receive_timer;
  STAILQ_HEAD (, reply_chunk) chunks;
  size_t pending;
};

void http_server_kick (http_server_t *server);
void http_server_end_exchange (const http_server_t *server,
                               const http_channel_t *channel);
void *http_exchange_create (void *data, const char *target,
                            struct MHD_Connection *connection);
void http_exchange_begin (http_exchange_t *exchange, const char *method,
                          const char *path);
void http_exchange_take_body (http_exchange_t *exchange, const char *data,
                              size_t size);
void http_exchange_dispatch (http_exchange_t *exchange);
enum MHD_Result http_exchange_queue_reply (http_exchange_t *exchange);
void http_exchange_suspend (http_exchange_t *exchange);
void http_exchange_finish (http_exchange_t *exchange);

#endif
