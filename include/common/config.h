#ifndef SISKIN_COMMON_CONFIG_H
#define SISKIN_COMMON_CONFIG_H

#include "common/schema.h"
#include "kernel/findings.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/* Limits and deadlines that the platform sets for relays.  */
typedef struct platform_bounds
{
  /* In any RETRY_WINDOW, the relays together may retry RETRY_RATIO times the
     requests of a service plus RETRY_EXTRA.  */
  double retry_ratio;
  double retry_extra;
  struct timespec retry_window;
  /* Maximum time for an operator's change to take effect after it was written
     to the store.  */
  struct timespec act_within;
  /* Maximum time until an upstream that shuts down receives no more requests,
     from when its shutdown was written to the store.  */
  struct timespec leave_within;
  /* The whole system is started for the first time, so this relay uses its
     full share of RETRY_EXTRA at once.  Otherwise it uses a small part of it
     for the first RETRY_WINDOW, because an earlier run of this relay, or a
     relay that it replaces, may have used the share in that window.  */
  bool first_start;
} platform_bounds_t;

/* Configuration of one process, read from its configuration file: its
   identity, its addresses and its plug-ins.  The settings of the whole system,
   settings_t, are in the store.  */
typedef struct config
{
  const char *name;
  const char *zone;
  const char *listen; /* ADDRESS:PORT for frames (agent, pilot) or HTTP (entry,
                         relay) */
  const char *admin;  /* ADDRESS:PORT of the metrics and health pages */
  const char *upstream;   /* agent: URL of the upstream beside it; pilot: its
                            ADDRESS:PORT */
  const char *engine;     /* agent of a rank only: name of the plug-in that
                             sends commands to the model engine, see
                             plugins/engine.h */
  const char *ready;      /* relay only: ADDRESS:PORT of the readiness page */
  schema_strings_t zones; /* relay only: "ZONE=REGION" of all zones */
  const char *catalog;    /* relay and pilot only: name of the plug-in that
                             interprets the keys and documents in the
                             platform's store, see plugins/catalog.h */
  const char *ingress;    /* relay only: name of the plug-in that receives the
                             clients' requests, see plugins/ingress.h */
  const char *egress;  /* relay only: name of the plug-in that sends requests
                          to the upstreams, see plugins/egress.h */
  const char *service; /* pilot only: service of its upstream */
  /* Pilot only: name of the plug-in that communicates with the model engine,
     see plugins/rank_engine.h.  The counterpart of ENGINE for pilots.  */
  const char *rank_engine;
  const char *store_kind;   /* name of a store plug-in */
  platform_bounds_t bounds; /* relay only */
  int64_t workers;          /* number of worker threads */
  double memory_mb; /* memory that the process may use, in MiB; 0: that of the
                       machine */
  double link_mbps; /* pilot only: bandwidth of the VM's link in Mbit/s */
  schema_strings_t store; /* URLs of the store */
  schema_strings_t peers; /* ADDRESS:PORT of processes that are asked for the
                             settings while the store is unavailable */
  struct timespec store_timeout; /* maximum time of a request to the store */
  struct timespec stop_timeout;  /* maximum time for a graceful stop */
} config_t;

config_t *config_create (TALLOC_CTX *parent);
void config_destroy (config_t *config);
config_t *config_parse (TALLOC_CTX *parent, const char *text, size_t size,
                        const char *file, findings_t *findings);
config_t *config_load (TALLOC_CTX *parent, const char *file,
                       findings_t *findings);
const char *const *config_store_urls (const config_t *config);

#endif
