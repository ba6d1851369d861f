#ifndef SISKIN_PLUGINS_STORE_H
#define SISKIN_PLUGINS_STORE_H

#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <time.h>

/* Client of the platform's key-value service.  All calls are asynchronous and
   belong to one worker.  */
typedef struct store store_t;
typedef struct store_txn store_txn_t;

typedef enum store_compare_kind
{
  STORE_KEY_ABSENT,
  STORE_MOD_REVISION_IS,
  STORE_VALUE_IS
} store_compare_kind_t;

typedef struct store_compare
{
  STAILQ_ENTRY (store_compare) link;
  store_compare_kind_t kind;
  const char *key;
  int64_t revision;
  const char *value;
} store_compare_t;

typedef enum store_op_kind
{
  STORE_GET,
  STORE_GET_PREFIX,
  STORE_PUT,
  STORE_DELETE,
  STORE_TXN /* a transaction within a transaction, decided on its own */
} store_op_kind_t;

typedef struct store_op
{
  STAILQ_ENTRY (store_op) link;
  store_op_kind_t kind;
  const char *key;
  const char *value;
  int64_t lease;     /* of a put, 0 for none */
  int64_t limit;     /* of a prefix read, 0 for none; newest keys last */
  const char *after; /* of a prefix read: only keys past this one; or NULL */
  store_txn_t *txn;
} store_op_t;

/* A transaction: when all COMPARES hold the SUCCESS operations are carried
   out, else the FAILURE ones.  Strings belong to the talloc tree of TXN.  */
struct store_txn
{
  STAILQ_HEAD (, store_compare) compares;
  STAILQ_HEAD (, store_op) success;
  STAILQ_HEAD (, store_op) failure;
};

typedef struct store_entry
{
  STAILQ_ENTRY (store_entry) link;
  const char *key;
  const char *value;
  size_t value_size; /* without the null byte that follows */
  int64_t mod_revision;
  int64_t lease;
} store_entry_t;

typedef struct store_result store_result_t;

typedef struct store_response
{
  STAILQ_ENTRY (store_response) link;
  store_op_kind_t kind;
  STAILQ_HEAD (, store_entry) entries; /* of a read */
  bool has_more; /* of a prefix read: the store has cut it short */
  store_result_t *txn;
} store_response_t;

struct store_result
{
  bool succeeded; /* all compares held */
  int64_t revision;
  STAILQ_HEAD (, store_response) responses;
};

/* RESULT is NULL unless STATUS is STATUS_OK, and valid during the call.  A
   write has not taken effect with STATUS_INVALID (the store refused it),
   STATUS_NOT_FOUND (its lease has lapsed) and STATUS_UNAVAILABLE (not one byte
   was sent); with any other status but STATUS_OK it may or may not have.  */
typedef void (*store_done_t) (status_t status, const store_result_t *result,
                              void *data);
/* LEASE is the lease's number; 0 with any status but STATUS_OK.  */
typedef void (*store_lease_done_t) (status_t status, int64_t lease,
                                    void *data);

typedef struct store_watch_ops
{
  /* ENTRY is the new value of the watched key; NULL value when deleted.
     Changes come in order and none is left out while the watch lasts.  */
  void (*on_change) (const store_entry_t *entry, void *data);
  /* The store confirmed that the watch is alive and up to date.  */
  void (*on_progress) (void *data);
  /* The watch broke and is gone; STATUS_NOT_FOUND when the start revision is
     no longer kept.  The owner reads the key and watches again.  */
  void (*on_broken) (status_t status, void *data);
} store_watch_ops_t;

typedef struct store_watch store_watch_t;

/* The changes that one poll found, oldest first; a deleted key has a NULL
   value.  The next poll goes on from REVISION.  */
typedef struct store_changes
{
  int64_t revision;
  STAILQ_HEAD (, store_entry) entries;
} store_changes_t;

/* CHANGES is NULL unless STATUS is STATUS_OK, and valid during the call.
   STATUS_NOT_FOUND: the store no longer keeps what followed the revision.  */
typedef void (*store_poll_done_t) (status_t status,
                                   const store_changes_t *changes, void *data);

typedef struct store_options
{
  const char *const *urls; /* NULL-terminated; tried in turn */
  struct timespec timeout; /* of one call */
} store_options_t;

typedef struct store_ops
{
  store_t *(*create) (worker_t *worker, const store_options_t *options);
  /* Calls and watches under way end without their callbacks.  */
  void (*destroy) (store_t *store);
  status_t (*transact) (store_t *store, const store_txn_t *txn,
                        store_done_t done, void *data);
  status_t (*grant) (store_t *store, struct timespec duration,
                     store_lease_done_t done, void *data);
  status_t (*keep_alive) (store_t *store, int64_t lease,
                          store_lease_done_t done, void *data);
  /* Watch from START_REVISION on, which is one more than the revision of the
     read that came before; 0 for changes from now on.  */
  store_watch_t *(*watch) (store_t *store, const char *key,
                           int64_t start_revision,
                           const store_watch_ops_t *ops, void *data);
  /* Callable from the watch's own callbacks but on_broken.  */
  void (*unwatch) (store_watch_t *watch);
  /* Ask once for the changes of keys under PREFIX since the revision AFTER;
     the store waits up to WAIT for the first.  NULL where it cannot.  */
  status_t (*poll) (store_t *store, const char *prefix, int64_t after,
                    struct timespec wait, store_poll_done_t done, void *data);
  /* End a lease and delete its keys.  NULL where it cannot.  */
  status_t (*revoke_lease) (store_t *store, int64_t lease,
                            store_lease_done_t done, void *data);
} store_ops_t;

#define STORE_KEY_SETTINGS "/siskinspur/settings"
/* "REVISION CHANGE-ID" of the settings, written with them, so that a check for
   something newer moves a few bytes only.  */
#define STORE_KEY_REVISION "/siskinspur/revision"
#define STORE_PREFIX_HISTORY "/siskinspur/history/"
#define STORE_PREFIX_DOCUMENTS "/siskinspur/documents/"
#define STORE_PREFIX_CLAIMS "/siskinspur/claims/"
#define STORE_PREFIX_GROUPS "/siskinspur/groups/"

store_txn_t *store_txn_create (TALLOC_CTX *parent);
void store_txn_destroy (store_txn_t *txn);
void store_txn_if_absent (store_txn_t *txn, const char *key);
void store_txn_if_revision (store_txn_t *txn, const char *key,
                            int64_t revision);
void store_txn_if_value (store_txn_t *txn, const char *key, const char *value);
store_op_t *store_txn_then (store_txn_t *txn, store_op_kind_t kind,
                            const char *key, const char *value);
store_op_t *store_txn_else (store_txn_t *txn, store_op_kind_t kind,
                            const char *key, const char *value);
const store_entry_t *store_result_entry (const store_result_t *result,
                                         unsigned index);

#endif
