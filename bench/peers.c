/* Simulates many idle peers in one process, to measure what a peer costs an
   entry or an agent.

   bench-peers agents ADDRESS:PORT         accepts connections as agents do
   bench-peers entries ADDRESS:PORT COUNT  opens COUNT connections as entries
                                           do  */

#include "common/link.h"
#include "common/transport.h"
#include "kernel/log.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct peers
{
  worker_t *worker;
  node_t *node;
} peers_t;

/* Send one load report if the peer is an entry, as an agent does.  */
static void
peer_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  frame_t frame = { .header = { .type = FRAME_LOAD } };

  (void)peer;
  (void)data;
  if (link_peer_role (link) != NODE_ENTRY)
    return;
  frame.body.load.limit_requests = 16;
  frame.body.load.limit_tokens = 65536;
  link_send (link, &frame);
}

static void
peer_on_frame (link_t *link, const frame_t *frame, void *data)
{
  (void)link;
  (void)frame;
  (void)data;
}

static void
peer_on_closed (link_t *link, const char *reason, void *data)
{
  (void)link;
  (void)reason;
  (void)data;
}

static const link_ops_t peer_ops = {
  .on_open = peer_on_open,
  .on_frame = peer_on_frame,
  .on_closed = peer_on_closed,
};

static void
peers_accept (stream_t *stream, void *data)
{
  peers_t *peers = data;

  link_accept (peers->worker, peers->node, stream, &peer_ops, peers);
}

/* Accept connections at ADDRESS and print the port, which the caller may have
   left to the system.  */
static bool
peers_listen (peers_t *peers, const net_address_t *address)
{
  uint16_t port;

  if (transport_listen (transport_tcp (), peers->worker, address, &port,
                        peers_accept, peers)
      == NULL)
    return false;
  printf ("port=%u\n", port);
  fflush (stdout);
  return true;
}

static bool
peers_connect (peers_t *peers, const net_address_t *address, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (link_connect (peers->worker, peers->node, address, &peer_ops, peers)
          == NULL)
        return false;
    }
  printf ("connected=%u\n", count);
  fflush (stdout);
  return true;
}

int
main (int argc, char **argv)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  clock_source_t *clock = clock_create_system (memory);
  pool_t *pool = pool_create (memory, 1, clock);
  peers_t peers = { .worker = pool_worker (pool, 0) };
  net_address_t address;
  bool is_agents = argc == 3 && strcmp (argv[1], "agents") == 0;
  bool is_entries = argc == 4 && strcmp (argv[1], "entries") == 0;
  bool is_done = false;

  if ((!is_agents && !is_entries)
      || net_address_parse (memory, argv[2], &address) != STATUS_OK)
    {
      fprintf (stderr, "usage: %s agents|entries ADDRESS:PORT [COUNT]\n",
               argv[0]);
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  peers.node = node_create (memory, is_agents ? NODE_AGENT : NODE_ENTRY,
                            "bench", "tt-south-1", clock);
  if (is_agents ? !peers_listen (&peers, &address)
                : !peers_connect (&peers, &address,
                                  (unsigned)strtoul (argv[3], NULL, 10)))
    {
      fprintf (stderr, "%s\n", status_message ());
      return EXIT_FAILURE;
    }
  worker_run_until (peers.worker, &is_done);
  return EXIT_SUCCESS;
}
