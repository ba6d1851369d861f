#ifndef SISKIN_COMMON_HTTP_EXCHANGE_H
#define SISKIN_COMMON_HTTP_EXCHANGE_H

#include "common/http_server.h"
#include "kernel/memory_budget.h"

#include <microhttpd.h>
#include <sys/queue.h>

/* Internals shared by http_server.c, http_exchange.c and http_reply.c.  */

enum
{
  /* libmicrohttpd keeps a request's header, a record of each of its fields and
     the reply's header in this memory of the connection.  */
  HTTP_CONNECTION_MEMORY_BYTES = 64 * 1024,
  /* Accounted for a connection before its first request line is complete: the
     part of its memory that libmicrohttpd reads into.  All of it is from then
     on until the connection is closed, since libmicrohttpd clears, and thereby
     uses, all of it between two requests.  */
  HTTP_IDLE_CONNECTION_BYTES = HTTP_CONNECTION_MEMORY_BYTES / 2,
  /* Body and reply up to this size are not accounted, and more is in steps, so
     that small requests and events do not take the budget's lock.  */
  HTTP_UNCHARGED_BYTES = 8 * 1024,
  HTTP_CHARGE_STEP_BYTES = 16 * 1024,
  HTTP_UNAVAILABLE = 503
};

/* Data of a reply that libmicrohttpd has not read yet.  */
typedef struct reply_chunk
{
  STAILQ_ENTRY (reply_chunk) link;
  size_t size;
  size_t consumed;
  char data[];
} reply_chunk_t;

/* A client's connection.  */
typedef struct http_connection
{
  LIST_ENTRY (http_connection) link;
  http_server_t *server;
  struct MHD_Connection *mhd_connection;
  http_exchange_t *exchange; /* in progress, or NULL */
  memory_holder_t memory;    /* of the connection and its exchange */
  /* A request was refused before it was received.  */
  bool is_refused;
} http_connection_t;

/* A descriptor of a closed connection, see http_server_linger.  */
typedef struct http_lingering
{
  http_server_t *server;
  int fd;
} http_lingering_t;

struct http_server
{
  worker_t *worker;
  const http_server_ops_t *ops;
  void *data;
  http_server_limits_t limits;
  bool is_closing_idle; /* connections close once they have no exchange */
  struct MHD_Daemon *daemon;
  struct tevent_fd *event;
  worker_timer_t *timer;        /* libmicrohttpd's next timeout */
  worker_timer_t *resume_timer; /* armed while MHD_run is scheduled */
  LIST_HEAD (, http_connection) connections;
  LIST_HEAD (, http_exchange) suspended;
  LIST_HEAD (, http_exchange) resuming;
  uint16_t port;
  MHD_socket listen_fd;
  unsigned open_exchanges;
  unsigned lingering_count;
};

struct http_exchange
{
  LIST_ENTRY (http_exchange)
  suspended_link; /* link in the server's list suspended, then resuming */
  http_server_t *server;
  struct MHD_Connection *mhd_connection;
  http_connection_t *connection;
  void *data;
  http_headers_t headers; /* filled by the first http_exchange_headers */
  bool has_headers;
  char *method;
  char *target;
  char *path;
  char *body;
  size_t body_size;
  size_t body_capacity;   /* with the terminating null byte */
  size_t body_length;     /* as declared, 0 for unknown */
  size_t charged;         /* reserved for body and reply */
  bool is_body_too_large; /* its declared length is */
  bool is_cut;            /* dropped while the reply was being sent */
  bool is_head_too_large; /* the request line and header fields */
  size_t memory_used;     /* of the connection's, by the request's header */
  /* The reply is replaced by an error, since its header is too large.  */
  bool is_reply_replaced;
  bool is_dispatched;
  bool is_suspended;
  bool is_reply_begun; /* the status was set, or the client has disconnected */
  bool is_reply_queued; /* the reply was passed to libmicrohttpd */
  bool is_reply_ended;
  bool is_reply_aborted;
  bool is_client_gone;
  struct MHD_Response *response; /* NULL once queued */
  unsigned http_status;
  bool has_length;
  uint64_t length; /* size of the reply's body, if has_length */
  struct tevent_fd *disconnect_event; /* detects that the client disconnects */
  worker_timer_t *receive_timer;
  STAILQ_HEAD (, reply_chunk) chunks;
  size_t pending_bytes; /* total size of the unread data in CHUNKS */
};

/* Sizes of the fields of a header, for field_sizes_add.  */
typedef struct field_sizes
{
  size_t bytes; /* of names, values and separators */
  size_t count;
} field_sizes_t;

void http_server_schedule_resume (http_server_t *server);
int http_connection_fd (const http_connection_t *connection);
void http_server_end_exchange (const http_server_t *server,
                               const http_connection_t *connection);
void *http_exchange_create (void *data, const char *target,
                            struct MHD_Connection *mhd_connection);
void http_exchange_set_request_line (http_exchange_t *exchange,
                                     const char *method, const char *path);
bool http_exchange_append_body (http_exchange_t *exchange, const char *data,
                                size_t size);
bool http_exchange_is_refused_early (const http_exchange_t *exchange);
void http_exchange_drop (http_exchange_t *exchange);
void http_exchange_dispatch (http_exchange_t *exchange);
void http_exchange_suspend (http_exchange_t *exchange);
/* Schedules EXCHANGE to be resumed if it is suspended.  */
void http_exchange_resume (http_exchange_t *exchange);
void http_exchange_finish (http_exchange_t *exchange);
/* Reserves memory for BYTES of body and reply in total, or releases what is
   surplus.  Returns false if there is no room for more.  */
bool http_exchange_charge (http_exchange_t *exchange, size_t bytes);
/* Updates what is reserved after body or reply have become smaller.  */
void http_exchange_discharge (http_exchange_t *exchange);
enum MHD_Result field_sizes_add (void *data, enum MHD_ValueKind kind,
                                 const char *name, const char *value);

/* The reply (http_reply.c).  */
enum MHD_Result http_exchange_queue_reply (http_exchange_t *exchange);
/* Gives up a reply that the client does not read.  */
void http_exchange_cut (http_exchange_t *exchange);
void http_exchange_free_chunks (http_exchange_t *exchange);
void http_exchange_update_waiting (http_exchange_t *exchange);

#endif
