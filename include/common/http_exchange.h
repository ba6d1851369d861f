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

struct http_server
{
  worker_t *worker;
  const http_server_ops_t *ops;
  void *data;
  size_t body_limit;
  struct MHD_Daemon *daemon;
  struct tevent_fd *event;
  worker_timer_t *timer;
  worker_timer_t *kick; /* armed while exchanges are to be resumed */
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
  void *data;
  char *method;
  char *target;
  char *path;
  char *body;
  size_t body_size;
  bool is_too_large;
  bool is_dispatched;
  bool is_suspended;
  bool is_begun;  /* the reply's status is known */
  bool is_queued; /* the reply is with libmicrohttpd */
  bool is_ended;
  bool is_aborted;
  bool is_gone;
  struct MHD_Response *response; /* until it is queued */
  unsigned http_status;
  struct tevent_fd *hangup_event;
  worker_timer_t *receive_timer;
  STAILQ_HEAD (, reply_chunk) chunks;
  size_t pending;
};

void http_server_kick (http_server_t *server);
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
