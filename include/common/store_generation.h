#ifndef SISKIN_COMMON_STORE_GENERATION_H
#define SISKIN_COMMON_STORE_GENERATION_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

/* The generation of a store's data, as its client knows it.  A store that is
   restored from a copy loses what it has acknowledged since the copy was
   made, leases too, and gives the revisions out again; its generation then
   rises.  Revisions and leases of different generations have nothing to do
   with each other.  Belongs to the worker of the store.  */
typedef struct store_generation store_generation_t;

/* Is told when the store was restored, before the first response of the new
   generation is passed on.  What its owner knows of revisions and leases is
   void from then on; a call that is pending may have been executed before or
   after.  Must not be freed before it is removed.  */
typedef struct store_listener
{
  LIST_ENTRY (store_listener) link;
  void (*on_restored) (void *data);
  void *data;
  unsigned changes; /* those of the generation that it knows of */
} store_listener_t;

store_generation_t *store_generation_create (TALLOC_CTX *parent);
uint64_t store_generation_number (const store_generation_t *generation);
uint64_t store_generation_fence (const store_generation_t *generation,
                                 int64_t revision);
unsigned store_generation_changes (const store_generation_t *generation);
bool store_generation_accept (store_generation_t *generation,
                              unsigned changes_before, uint64_t number);
void store_generation_listen (store_generation_t *generation,
                              store_listener_t *listener);
void store_generation_unlisten (store_listener_t *listener);

#endif
