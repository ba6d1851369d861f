#ifndef SISKIN_PLUGINS_STORE_ETCD_H
#define SISKIN_PLUGINS_STORE_ETCD_H

#include "common/buffer.h"
#include "common/http_client.h"
#include "plugins/store.h"

#include <jansson.h>

enum
{
  ETCD_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
};

struct store
{
  worker_t *worker;
  http_client_t *client;
  char **urls;
  unsigned url_count;
  unsigned url_index; /* index of the URL in use */
  struct timespec timeout;
};

http_call_t *etcd_post (store_t *store, const char *path, json_t *body,
                        struct timespec timeout, const http_call_ops_t *ops,
                        void *data);
void etcd_select_next_url (store_t *store, unsigned url_index);
store_watch_t *etcd_watch (store_t *store, const char *key,
                           int64_t start_revision,
                           const store_watch_ops_t *ops, void *data);
void etcd_unwatch (store_watch_t *watch);

#endif
