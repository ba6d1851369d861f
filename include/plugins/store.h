#ifndef SISKIN_PLUGINS_STORE_H
#define SISKIN_PLUGINS_STORE_H

#include "common/store_generation.h"
#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <time.h>

/* Client of the platform's key-value service.  All calls are asynchronous.  A
   client belongs to one worker.  */
typedef struct store store_t;
typedef struct store_txn store_txn_t;

typedef enum store_compare_kind
{
  STORE_KEY_ABSENT,
  STORE_MOD_REVISION_IS, /* revision of the key's last change; 0: absent */
  STORE_VALUE_IS
} store_compare_kind_t;

typedef struct store_compare
{
  STAILQ_ENTRY (store_compare) link;
  store_compare_kind_t kind;
  const char *key;
  int64_t revision;  /* for STORE_MOD_REVISION_IS */
  const char *value; /* for STORE_VALUE_IS */
} store_compare_t;

typedef enum store_op_kind
{
  STORE_GET,
  STORE_GET_PREFIX,
  STORE_PUT,
  STORE_DELETE,
  STORE_TXN /* nested transaction with its own compares */
} store_op_kind_t;

typedef struct store_op
{
  STAILQ_ENTRY (store_op) link;
  store_op_kind_t kind;
  const char *key;
  const char *value;
  int64_t lease; /* for STORE_PUT: lease of the key; 0: none */
  /* For STORE_GET_PREFIX: return only LIMIT keys, the greatest ones, in
     descending order; 0 returns all keys.  The client of the platform's store
     refuses it as STATUS_INVALID: a caller that needs it needs the etcd
     client.  */
  int64_t limit;
  /* For STORE_GET_PREFIX: return only keys greater than AFTER, or all if it is
     NULL.  To read all pages, a caller repeats the read with the last key
     received while has_more is set.  */
  const char *after;
  store_txn_t *txn; /* for STORE_TXN */
} store_op_t;

/* A transaction: if all COMPARES hold, the SUCCESS operations are executed,
   otherwise the FAILURE operations.  Strings belong to the talloc tree of the
   transaction.  */
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
  size_t value_size; /* without the terminating null byte */
  int64_t mod_revision;
  int64_t lease;
} store_entry_t;

typedef struct store_result store_result_t;

typedef struct store_response
{
  STAILQ_ENTRY (store_response) link;
  store_op_kind_t kind;
  STAILQ_HEAD (, store_entry) entries; /* for reads */
  bool has_more;       /* for STORE_GET_PREFIX: there are further keys */
  store_result_t *txn; /* for STORE_TXN */
} store_response_t;

struct store_result
{
  bool succeeded;   /* all compares held */
  int64_t revision; /* of the store after the transaction */
  STAILQ_HEAD (, store_response) responses;
};

/* RESULT is NULL unless STATUS is STATUS_OK, and valid during the call.  A
   write had no effect if STATUS is STATUS_INVALID (the store rejected it),
   STATUS_NOT_FOUND (its lease has expired) or STATUS_UNAVAILABLE (no byte was
   sent).  With any other error it may or may not have taken effect.  */
typedef void (*store_done_t) (status_t status, const store_result_t *result,
                              void *data);
/* LEASE is the lease's ID; 0 unless STATUS is STATUS_OK.  */
typedef void (*store_lease_done_t) (status_t status, int64_t lease,
                                    void *data);

typedef struct store_watch_ops
{
  /* ENTRY is the new state of the watched key; its value is NULL when the key
     was deleted.  Changes are delivered in order and without gaps while the
     watch exists.  */
  void (*on_change) (const store_entry_t *entry, void *data);
  /* The store confirmed that the watch is alive and up to date.  */
  void (*on_progress) (void *data);
  /* The watch failed and is freed.  STATUS_NOT_FOUND means that the store has
     compacted the start revision.  The owner should read the key and start a
     new watch.  */
  void (*on_broken) (status_t status, void *data);
} store_watch_ops_t;

typedef struct store_watch store_watch_t;

/* Result of one poll: the changes, oldest first; a deleted key has a NULL
   value.  The next poll continues after REVISION.  */
typedef struct store_changes
{
  int64_t revision;
  STAILQ_HEAD (, store_entry) entries;
} store_changes_t;

/* CHANGES is NULL unless STATUS is STATUS_OK, and valid during the call.
   STATUS_NOT_FOUND means that the store has compacted the changes after the
   requested revision, and STATUS_TOO_LARGE that they are too many to be
   received.  In both cases the caller should read the keys instead: the same
   poll would fail again.  */
typedef void (*store_poll_done_t) (status_t status,
                                   const store_changes_t *changes, void *data);

typedef struct store_options
{
  const char *const *urls; /* NULL-terminated; on failure the next is used */
  /* Of one call, until its response begins, and then for each part of it: see
     stall_timeout in common/http_client.h.  */
  struct timespec timeout;
} store_options_t;

typedef struct store_ops
{
  store_t *(*create) (worker_t *worker, const store_options_t *options);
  /* Pending calls and watches end without running their callbacks.  */
  void (*destroy) (store_t *store);
  status_t (*transact) (store_t *store, const store_txn_t *txn,
                        store_done_t done, void *data);
  /* Create a lease that lasts for DURATION.  */
  status_t (*grant) (store_t *store, struct timespec duration,
                     store_lease_done_t done, void *data);
  /* Renew a lease for its original duration.  */
  status_t (*keep_alive) (store_t *store, int64_t lease,
                          store_lease_done_t done, void *data);
  /* Watch KEY from START_REVISION on: the revision of the preceding read plus
     one, or 0 for changes from now on.  */
  store_watch_t *(*watch) (store_t *store, const char *key,
                           int64_t start_revision,
                           const store_watch_ops_t *ops, void *data);
  /* End WATCH.  May be called from its callbacks except on_broken.  */
  void (*unwatch) (store_watch_t *watch);
  /* Long-poll once for changes to keys under PREFIX after revision AFTER; the
     store waits up to WAIT for the first.  This function pointer is NULL if
     the store does not support long polls.  */
  status_t (*poll) (store_t *store, const char *prefix, int64_t after,
                    struct timespec wait, store_poll_done_t done, void *data);
  /* Revoke a lease and delete its keys.  This function pointer is NULL if the
     store cannot revoke leases.  */
  status_t (*revoke_lease) (store_t *store, int64_t lease,
                            store_lease_done_t done, void *data);
  /* Return the generation of the store's data, as of the latest response; in
     a callback, as of the response that is passed.  This function pointer is
     NULL if the data is never restored from a copy.  */
  store_generation_t *(*generation) (store_t *store);
} store_ops_t;

/* Tell LISTENER of each restore of STORE, a store of the kind OPS, from now
   on.  */
static inline void
store_listen (const store_ops_t *ops, store_t *store,
              store_listener_t *listener)
{
  if (ops->generation != NULL)
    store_generation_listen (ops->generation (store), listener);
}

/* Tell LISTENER of no more restores.  */
static inline void
store_unlisten (const store_ops_t *ops, store_listener_t *listener)
{
  if (ops->generation != NULL)
    store_generation_unlisten (listener);
}

/* Return a fencing token for the leader whose key STORE, a store of the kind
   OPS, has written at REVISION: see store_generation_fence.  */
static inline uint64_t
store_fence (const store_ops_t *ops, store_t *store, int64_t revision)
{
  return ops->generation == NULL
             ? (uint64_t)revision
             : store_generation_fence (ops->generation (store), revision);
}

/* The current settings, as one document.  */
#define STORE_KEY_SETTINGS "/siskinspur/settings"
/* "REVISION CHANGE-ID" of the settings, written in the same transaction, so
   that checking for newer settings transfers only a few bytes.  CHANGE-ID is
   the change_id in settings_t.  */
#define STORE_KEY_REVISION "/siskinspur/revision"
/* Entries of the change history, by revision.  */
#define STORE_PREFIX_HISTORY "/siskinspur/history/"
/* Superseded settings documents, by revision.  */
#define STORE_PREFIX_DOCUMENTS "/siskinspur/documents/"
/* Claims on idempotency keys, by account, service and key.  */
#define STORE_PREFIX_CLAIMS "/siskinspur/claims/"
/* Epochs of lock-step groups, by group.  */
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
