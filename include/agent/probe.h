#ifndef SISKIN_AGENT_PROBE_H
#define SISKIN_AGENT_PROBE_H

#include "agent/gate.h"
#include "plugins/upstream.h"

/* Polls the upstream's state a few times a second and notifies the gate of
   restarts, of reported load and of failures.  Used on one worker only.  */
typedef struct probe probe_t;

typedef struct probe_options
{
  worker_t *worker;
  const upstream_ops_t *upstream_ops;
  upstream_transport_t *transport;
  gate_t *gate;
} probe_options_t;

probe_t *probe_create (TALLOC_CTX *parent, const probe_options_t *options);

#endif
