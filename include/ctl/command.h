#ifndef SISKIN_CTL_COMMAND_H
#define SISKIN_CTL_COMMAND_H

#include "common/settings.h"
#include "kernel/clock.h"
#include "kernel/pool.h"
#include "plugins/store.h"

#include <jansson.h>
#include <stdbool.h>

enum
{
  CTL_OK = 0,
  CTL_ERROR = 1,       /* findings, or a request that makes no sense */
  CTL_CONFLICT = 2,    /* somebody else changed the settings first */
  CTL_UNAVAILABLE = 3, /* the store did not answer; nothing was changed */
  CTL_UNKNOWN = 4,     /* whether the change took effect is not known */
  CTL_REFUSED = 5,     /* it would leave a service without upstreams */
  CTL_INCOMPLETE = 6,  /* not every process has the newest revision */
  CTL_USAGE = 64
};

/* What every command of siskinctl gets.  */
typedef struct ctl
{
  TALLOC_CTX *memory;
  const clock_source_t *clock;
  worker_t *worker;
  const store_ops_t *store_ops;
  store_t *store; /* NULL when the command needs none */
  const char *who;
  const char *why;
  bool is_forced; /* --force */
  bool waits;     /* false after --no-wait */
  bool is_json;
  json_t *result; /* what --json prints, an object */
} ctl_t;

typedef struct command_ops
{
  const char *usage; /* of the arguments after the command's name */
  bool needs_store;
  bool needs_reason; /* it changes the settings */
  /* ARGV[0] is the command's name.  Returns the exit status.  */
  int (*run) (ctl_t *ctl, int argc, char **argv);
} command_ops_t;

#endif
