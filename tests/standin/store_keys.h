#ifndef SISKIN_TESTS_STANDIN_STORE_KEYS_H
#define SISKIN_TESTS_STANDIN_STORE_KEYS_H

#include "standin.h"

#include <jansson.h>
#include <sys/queue.h>

/* The keys of the stand-in store, apart from the way it is reached.  */
typedef struct pair
{
  TAILQ_ENTRY (pair) link;
  char *key;   /* decoded; also the order of the list */
  char *value; /* base64 as it came */
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
  char *end; /* of the range, "" for one key */
} watcher_t;

/* A change, kept for watches that start in the past.  */
typedef struct event
{
  STAILQ_ENTRY (event) link;
  char *key;
  int64_t revision;
  char *line; /* as a watch shows it */
} event_t;

typedef enum failure_mode
{
  MODE_OK,
  MODE_DOWN,
  MODE_SLOW,
  MODE_LOSE
} failure_mode_t;

typedef struct store_state
{
  standin_t *standin;
  TAILQ_HEAD (, pair) pairs;
  LIST_HEAD (, lease) leases;
  LIST_HEAD (, watcher) watchers;
  STAILQ_HEAD (, event) events;
  size_t event_count;
  int64_t forgotten; /* revision of the newest event dropped */
  int64_t revision;
  bool has_written;   /* in the transaction under way */
  bool is_write_call; /* it may write, by its operations */
  int64_t next_lease;
  failure_mode_t mode;
  int64_t slow_ms;
  int64_t lose_left;  /* answers still to lose; negative: all */
  int64_t lose_after; /* writes answered before, when only writes' are lost */
  bool loses_writes_only;
  int64_t reads; /* calls of each kind */
  int64_t writes;
  int64_t lease_calls;
  int64_t watches;
  int64_t lost;
} store_state_t;

void store_start (store_state_t *state);
char *store_text (TALLOC_CTX *parent, const json_t *object, const char *key);
int64_t store_number (const json_t *object, const char *key);
void store_put (store_state_t *state, const json_t *request);
void store_watcher_send (const watcher_t *watcher, const event_t *event);
unsigned store_txn_check (const store_state_t *state, const json_t *txn);
json_t *store_txn_run (store_state_t *state, json_t *txn);
json_t *store_lease_grant (store_state_t *state, const json_t *request);
json_t *store_lease_keep (store_state_t *state, const json_t *request);
void store_leases_expire (store_state_t *state);

#endif
