#ifndef SISKIN_COMMON_CONFIG_H
#define SISKIN_COMMON_CONFIG_H

#include "common/schema.h"
#include "kernel/findings.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/* What the platform allows and expects; for programs that run on it.  */
typedef struct platform_bounds
{
  double retry_ratio; /* of the requests of a window */
  double retry_extra; /* in a window, besides */
  struct timespec retry_window;
  /* For a change of the operators' to act, and for an upstream that leaves to
     get no more requests, after it was written to the store.  */
  struct timespec act_within;
  struct timespec leave_within;
  bool first_start; /* of the whole system: this relay succeeds none */
} platform_bounds_t;

/* What one process learns from its own file: who and where it is.  The
   settings of the whole system are in the store.  */
typedef struct config
{
  const char *name;
  const char *zone;
  const char *listen;     /* frames from peers (agent) or HTTP (entry) */
  const char *admin;      /* counters and health, by HTTP */
  const char *upstream;   /* agent: URL of the upstream beside it; pilot: its
                            ADDRESS:PORT */
  const char *engine;     /* agent of a rank only: name of an engine plug-in */
  const char *ready;      /* relay only: where readiness is told by HTTP */
  schema_strings_t zones; /* relay only: "ZONE=REGION" of all zones */
  const char *catalog;    /* relay only: name of a catalog plug-in */
  const char *ingress;    /* relay only: name of an ingress plug-in */
  const char *egress;     /* relay only: name of an egress plug-in */
  const char *service;    /* pilot only: of the upstream beside it */
  const char *rank_engine;  /* pilot only: name of a rank-engine plug-in */
  const char *store_kind;   /* name of a store plug-in */
  platform_bounds_t bounds; /* relay only */
  int64_t workers;
  schema_strings_t store; /* URLs */
  schema_strings_t peers; /* ADDRESS:PORT of other processes */
  struct timespec store_timeout;
  struct timespec stop_timeout; /* a planned stop waits this long */
} config_t;

config_t *config_create (TALLOC_CTX *parent);
void config_destroy (config_t *config);
config_t *config_load (TALLOC_CTX *parent, const char *file,
                       findings_t *findings);
const char *const *config_store_urls (const config_t *config);

#endif
