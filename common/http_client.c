#include "common/http_client_state.h"

typedef struct watched_socket
{
  http_client_t *client;
  curl_socket_t fd;
  struct tevent_fd *event;
} watched_socket_t;

/* Report and free the calls that libcurl has finished.  */
static void
client_collect_finished (http_client_t *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      http_call_t *call;
      status_t status = STATUS_OK;
      CURLcode result = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE,
                         (char **)&call);
      call->is_finished = true;
      if (result == CURLE_OPERATION_TIMEDOUT)
        status = status_set (STATUS_TIMEOUT, "%s", call->error);
      else if (result != CURLE_OK)
        status = status_set (STATUS_UNAVAILABLE, "%s", call->error);
      http_call_finish (call, status);
    }
}

/* Let libcurl handle ACTION on FD.  */
static void
client_run_action (http_client_t *client, curl_socket_t fd, int action)
{
  int running;

  curl_multi_socket_action (client->multi, fd, action, &running);
  client_collect_finished (client);
}

static void
client_handle_event (struct tevent_context *events, struct tevent_fd *event,
                     uint16_t flags, void *data)
{
  watched_socket_t *watched = data;
  int action = 0;

  (void)events;
  (void)event;
  if ((flags & TEVENT_FD_READ) != 0)
    action |= CURL_CSELECT_IN;
  if ((flags & TEVENT_FD_WRITE) != 0)
    action |= CURL_CSELECT_OUT;
  client_run_action (watched->client, watched->fd, action);
}

/* Called by libcurl when the events to wait for on FD change.  */
static int
client_watch_socket (CURL *easy, curl_socket_t fd, int what, void *data,
                     void *socket_data)
{
  http_client_t *client = data;
  watched_socket_t *watched = socket_data;
  http_call_t *call = NULL;
  uint16_t flags = 0;

  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&call);
  if (call != NULL)
    call->fd = what == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : fd;
  if (what == CURL_POLL_REMOVE)
    {
      curl_multi_assign (client->multi, fd, NULL);
      talloc_free (watched);
      return 0;
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_WRITE;
  if (watched == NULL)
    {
      watched = talloc_zero (client, watched_socket_t);
      watched->client = client;
      watched->fd = fd;
      watched->event = tevent_add_fd (worker_events (client->worker), watched,
                                      fd, flags, client_handle_event, watched);
      curl_multi_assign (client->multi, fd, watched);
      return 0;
    }
  tevent_fd_set_flags (watched->event, flags);
  return 0;
}

static void
client_handle_timer (worker_t *worker, void *data)
{
  http_client_t *client = data;

  (void)worker;
  client->timer = NULL;
  client_run_action (client, CURL_SOCKET_TIMEOUT, 0);
}

/* Called by libcurl when its next timeout changes.  */
static int
client_set_timer (CURLM *multi, long timeout_ms, void *data)
{
  http_client_t *client = data;

  (void)multi;
  TALLOC_FREE (client->timer);
  if (timeout_ms < 0)
    return 0;
  client->timer = worker_timer_start (client->worker, client,
                                      timespec_from_ms (timeout_ms),
                                      client_handle_timer, client);
  return 0;
}

static int
client_free (http_client_t *client)
{
  http_call_t *call;

  while ((call = LIST_FIRST (&client->calls)) != NULL)
    talloc_free (call);
  curl_multi_cleanup (client->multi);
  return 0;
}

/* Create a client on WORKER's event loop, owned by PARENT.  Returns NULL when
   memory is exhausted.  */
http_client_t *
http_client_create (TALLOC_CTX *parent, worker_t *worker)
{
  http_client_t *client = talloc_zero (parent, http_client_t);

  if (client == NULL)
    return NULL;
  client->worker = worker;
  client->multi = curl_multi_init ();
  LIST_INIT (&client->calls);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION,
                     client_watch_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, client_set_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  talloc_set_destructor (client, client_free);
  return client;
}

/* Free CLIENT and its calls, without calling on_done.  */
void
http_client_destroy (http_client_t *client)
{
  talloc_free (client);
}

/* Limit the idle connections that CLIENT keeps for reuse to COUNT.  libcurl's
   default is four for each call in progress.  */
void
http_client_keep_connections (http_client_t *client, unsigned count)
{
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)count);
}
