#ifndef SISKIN_TESTS_FAKE_AGENT_H
#define SISKIN_TESTS_FAKE_AGENT_H

#include "common/link.h"
#include "common/node.h"
#include "common/transport.h"
#include "kernel/clock.h"
#include "kernel/pool.h"

/* A fake agent, which runs on the event loop of the entry's worker.  It keeps
   what it receives and sends only what the test tells it to.  */
typedef struct fake_agent
{
  pool_t *pool;
  worker_t *worker;
  clock_source_t *clock;
  char name[8];
  node_t *node;
  listener_t *listener;
  uint16_t port;
  link_t *link;
  unsigned submits; /* frames received of each type */
  unsigned cancels;
  unsigned resumes;
  request_id_t request;
  uint64_t resumed_from;
  uint64_t acknowledged;
} fake_agent_t;

void fake_create (fake_agent_t *agent, unsigned index, pool_t *pool,
                  worker_t *worker, clock_source_t *clock);
void fake_create_node (fake_agent_t *agent);
void fake_send_head (fake_agent_t *agent);
void fake_send_status (fake_agent_t *agent, uint64_t http_status);
void fake_send_chunk (fake_agent_t *agent, uint64_t offset, const char *text);
void fake_send_end (fake_agent_t *agent, uint64_t length);
void fake_refuse (fake_agent_t *agent, refusal_t refusal, outcome_t outcome);
void fake_send_response (fake_agent_t *agent);

#endif
