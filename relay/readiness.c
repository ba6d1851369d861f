#include "relay/readiness.h"

#include "common/http_server.h"
#include "kernel/log.h"
#include "relay/directory.h"

enum
{
  BODY_BYTES = 4096
};

struct readiness
{
  relay_t *relay;
  http_server_t *server;
  bool was_ready;
};

/* A relay takes connections once it knows rules and upstreams, and until its
   planned stop.  It goes on with what it knows when the store is away.  */
static bool
readiness_is_ready (const readiness_t *readiness)
{
  relay_t *relay = readiness->relay;
  rules_t *rules;

  if (atomic_load (&relay->is_stopping)
      || !discovery_is_synced (relay->directory))
    return false;
  rules = relay_rules (relay);
  rules_release (rules);
  return rules != NULL;
}

static void
readiness_on_request (http_exchange_t *exchange, void *data)
{
  readiness_t *readiness = data;
  bool is_ready = readiness_is_ready (readiness);

  if (is_ready != readiness->was_ready)
    log_event (LOG_LEVEL_NOTICE, "readiness", "ready=%d stopping=%d", is_ready,
               (int)atomic_load (&readiness->relay->is_stopping));
  readiness->was_ready = is_ready;
  http_reply_text (exchange, is_ready ? 200 : 503, "text/plain",
                   is_ready ? "ready\n" : "not ready\n");
}

static const http_server_ops_t readiness_ops = {
  .on_request = readiness_on_request,
};

/* Answer any request at ADDRESS with 200 while the relay is ready, else with
   503.  Returns NULL with the status message set.  */
readiness_t *
readiness_create (relay_t *relay, const char *address)
{
  worker_t *worker = pool_worker (daemon_pool (relay->daemon), 0);
  readiness_t *readiness = talloc_zero (worker_events (worker), readiness_t);
  net_address_t parsed;

  if (readiness == NULL
      || net_address_parse (readiness, address, &parsed) != STATUS_OK)
    {
      talloc_free (readiness);
      return NULL;
    }
  readiness->relay = relay;
  readiness->server = http_server_create (worker, &parsed, BODY_BYTES,
                                          &readiness_ops, readiness);
  if (readiness->server == NULL)
    {
      talloc_free (readiness);
      return NULL;
    }
  log_event (LOG_LEVEL_NOTICE, "ready-listening", "port=%u",
             http_server_port (readiness->server));
  return readiness;
}

/* Stop answering.  */
void
readiness_destroy (readiness_t *readiness)
{
  http_server_destroy (readiness->server);
  talloc_free (readiness);
}
