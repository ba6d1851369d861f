#include "fake_agent.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static void
fake_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  (void)link;
  (void)peer;
  (void)data;
}

static void
fake_on_frame (link_t *link, const frame_t *frame, void *data)
{
  fake_agent_t *agent = data;

  (void)link;
  if (frame->header.type == FRAME_SUBMIT)
    {
      agent->submits++;
      agent->request = frame->header.request;
    }
  else if (frame->header.type == FRAME_CANCEL)
    agent->cancels++;
  else if (frame->header.type == FRAME_ACK)
    agent->acknowledged = frame->body.offset.offset;
  else if (frame->header.type == FRAME_RESUME)
    {
      agent->resumes++;
      agent->resumed_from = frame->body.offset.offset;
    }
}

static void
fake_on_closed (link_t *link, const char *reason, void *data)
{
  fake_agent_t *agent = data;

  (void)reason;
  if (agent->link == link)
    agent->link = NULL;
}

static const link_ops_t fake_ops = {
  .on_open = fake_on_open,
  .on_frame = fake_on_frame,
  .on_closed = fake_on_closed,
};

static void
fake_accept (stream_t *stream, void *data)
{
  fake_agent_t *agent = data;

  agent->link
      = link_accept (agent->worker, agent->node, stream, &fake_ops, agent);
}

/* Give AGENT a new node and with it a new incarnation.  */
void
fake_create_node (fake_agent_t *agent)
{
  agent->node
      = node_create (agent->pool, NODE_AGENT, agent->name, "z1", agent->clock);
}

/* Start AGENT, whose name is u and INDEX, on WORKER of POOL.  */
void
fake_create (fake_agent_t *agent, unsigned index, pool_t *pool,
             worker_t *worker, clock_source_t *clock)
{
  net_address_t address = { "127.0.0.1", 0 };

  agent->pool = pool;
  agent->worker = worker;
  agent->clock = clock;
  snprintf (agent->name, sizeof agent->name, "u%u", index);
  fake_create_node (agent);
  agent->listener = transport_listen (transport_tcp (), worker, &address,
                                      &agent->port, fake_accept, agent);
  assert_non_null (agent->listener);
}

/* Send the head of a response with HTTP_STATUS to the request that AGENT
   received last.  */
void
fake_send_status (fake_agent_t *agent, uint64_t http_status)
{
  frame_t frame
      = { .header = { .type = FRAME_HEAD, .request = agent->request } };

  frame.body.head.http_status = http_status;
  frame.body.head.content_type = "text/plain";
  link_send (agent->link, &frame);
}

/* Send the head of a successful response.  */
void
fake_send_head (fake_agent_t *agent)
{
  fake_send_status (agent, 200);
}

/* Send TEXT as the bytes at OFFSET of the response.  */
void
fake_send_chunk (fake_agent_t *agent, uint64_t offset, const char *text)
{
  frame_t frame
      = { .header = { .type = FRAME_CHUNK, .request = agent->request } };

  frame.body.chunk.offset = offset;
  frame.body.chunk.data = (blob_t){ text, strlen (text) };
  link_send (agent->link, &frame);
}

/* Send the end of a response of LENGTH bytes.  */
void
fake_send_end (fake_agent_t *agent, uint64_t length)
{
  frame_t frame
      = { .header = { .type = FRAME_END, .request = agent->request } };

  frame.body.end.outcome = OUTCOME_RAN;
  frame.body.end.length = length;
  frame.body.end.is_complete = true;
  link_send (agent->link, &frame);
}

/* Refuse the request for the reason REFUSAL.  */
void
fake_refuse (fake_agent_t *agent, refusal_t refusal, outcome_t outcome)
{
  frame_t frame
      = { .header = { .type = FRAME_REFUSE, .request = agent->request } };

  frame.body.refuse.refusal = refusal;
  frame.body.refuse.outcome = outcome;
  link_send (agent->link, &frame);
}

/* Send the response "whole".  */
void
fake_send_response (fake_agent_t *agent)
{
  fake_send_head (agent);
  fake_send_chunk (agent, 0, "whole");
  fake_send_end (agent, 5);
}
