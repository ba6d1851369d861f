#ifndef SISKIN_TESTS_STANDIN_STORE_KEYS_H
#define SISKIN_TESTS_STANDIN_STORE_KEYS_H

#include "standin.h"

#include <jansson.h>
#include <sys/queue.h>

/* Keys, leases and watches of the stand-in store, without its HTTP
   interface.  */
typedef struct pair
{
  TAILQ_ENTRY (pair) link;
  char *key;   /* decoded; the list is sorted by it */
  char *value; /* in base64, as received */
  int64_t create_revision;
  int64_t mod_revision;
  int64_t lease;
} pair_t;

typedef struct lease
{
  LIST_ENTRY (lease) link;
  int64_t id;
  int64_t ttl;
  struct timespec expires;
} lease_t;

typedef struct watcher
{
  LIST_ENTRY (watcher) link;
  http_exchange_t *exchange;
  char *key;
  char *end; /* exclusive end of the range, "" for one key */
} watcher_t;

/* A change, retained for watches that start at an earlier revision.  */
typedef struct event
{
  STAILQ_ENTRY (event) link;
  char *key;
  int64_t revision;
  char *line; /* the message that a watch sends */
} event_t;

typedef enum failure_mode
{
  MODE_OK,
  MODE_DOWN,
  MODE_SLOW,
  MODE_DROP_RESPONSES /* executes requests, but drops the responses */
} failure_mode_t;

typedef struct store_state
{
  standin_t *standin;
  TAILQ_HEAD (, pair) pairs;
  LIST_HEAD (, lease) leases;
  LIST_HEAD (, watcher) watchers;
  STAILQ_HEAD (, event) events;
  size_t event_count;
  int64_t compacted_revision; /* of the newest event that was discarded */
  int64_t revision;
  bool has_written;   /* the current transaction has its revision */
  bool is_write_call; /* the current request contains writes */
  int64_t next_lease;
  failure_mode_t mode;
  int64_t slow_ms;
  int64_t drop_count;         /* responses still to drop; negative: no limit */
  int64_t writes_before_drop; /* answered first, with drops_after_writes */
  bool drops_after_writes;
  bool drops_reads; /* with drops_after_writes: after those writes */
  int64_t reads;    /* requests of each kind */
  int64_t writes;
  int64_t lease_calls;
  int64_t watches;
  int64_t dropped_responses;
} store_state_t;

void store_start (store_state_t *state);
char *store_text (TALLOC_CTX *parent, const json_t *object, const char *key);
int64_t store_number (const json_t *object, const char *key);
void store_put (store_state_t *state, const json_t *request);
void store_watcher_send (const watcher_t *watcher, const event_t *event);
unsigned store_txn_check (const store_state_t *state, const json_t *txn);
json_t *store_txn_run (store_state_t *state, json_t *txn);
json_t *store_lease_grant (store_state_t *state, const json_t *request);
json_t *store_lease_renew (store_state_t *state, const json_t *request);
void store_leases_expire (store_state_t *state);

#endif
