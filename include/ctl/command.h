#ifndef SISKIN_CTL_COMMAND_H
#define SISKIN_CTL_COMMAND_H

#include "common/settings.h"
#include "kernel/clock.h"
#include "kernel/pool.h"
#include "plugins/store.h"

#include <jansson.h>
#include <stdbool.h>

/* Exit statuses of siskinctl, also returned by the functions of the
   commands.  */
enum
{
  CTL_OK = 0,
  CTL_ERROR = 1,    /* invalid input, or the request cannot be carried out */
  CTL_CONFLICT = 2, /* another change was written first */
  CTL_UNAVAILABLE = 3, /* the store cannot be reached; nothing was changed */
  CTL_UNKNOWN = 4,     /* it is unknown whether the change took effect */
  CTL_REFUSED = 5,     /* a service would be left without upstreams */
  CTL_INCOMPLETE = 6,  /* done, but some processes don't have the newest
                          revision or did not reply, or the log files
                          don't cover the complete request */
  CTL_USAGE = 64       /* EX_USAGE of <sysexits.h> */
};

/* State of one run of siskinctl, shared by the command and its helpers.  */
typedef struct ctl
{
  TALLOC_CTX *memory; /* talloc parent of everything; freed at exit */
  const clock_source_t *clock;
  worker_t *worker;
  const store_ops_t *store_ops;
  store_t *store;  /* NULL when the command needs none */
  const char *who; /* author of a change, recorded with it */
  const char *why; /* reason for a change, recorded with it */
  bool is_forced;  /* --force: allow a service to be left without upstreams */
  /* After a change, wait until the processes have it; off with --no-wait.  */
  bool is_wait_enabled;
  bool is_json;
  json_t *result; /* object that --json prints */
} ctl_t;

/* A subcommand of siskinctl, registered as PLUGIN_COMMAND.  */
typedef struct command_ops
{
  const char *usage; /* arguments after the command name, for the help */
  bool needs_store;
  bool needs_reason; /* requires --why, because it changes the settings */
  /* ARGV[0] is the command's name.  Returns an exit status.  */
  int (*run) (ctl_t *ctl, int argc, char **argv);
} command_ops_t;

#endif
