#ifndef SISKIN_AGENT_PROBE_H
#define SISKIN_AGENT_PROBE_H

#include "agent/gate.h"
#include "plugins/upstream.h"

/* Asks the upstream a few times a second how it is, and tells the gate of
   restarts, of its own word and of failures.  Belongs to one worker.  */
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
