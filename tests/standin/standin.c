#include "standin.h"

#include "kernel/log.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_BODY_BYTES = 8 * 1024 * 1024
};

static bool is_stopping;

static void
handle_signal (struct tevent_context *events, struct tevent_signal *signal,
               int number, int count, void *info, void *data)
{
  (void)events;
  (void)signal;
  (void)number;
  (void)count;
  (void)info;
  (void)data;
  is_stopping = true;
}

/* Serve HTTP on ADDRESS:PORT, the first argument, until SIGTERM, and print
   the port that was bound.  CREATE_STATE allocates the data of OPS below the
   stand-in, which frees it.  Returns the exit status.  */
int
standin_main (int argc, char **argv, const http_server_ops_t *ops,
              void *(*create_state) (standin_t *standin, int argc,
                                     char **argv))
{
  standin_t *standin = talloc_zero (NULL, standin_t);
  clock_source_t *clock = clock_create_system (standin);
  pool_t *pool = pool_create (standin, 1, clock);
  net_address_t address;

  if (argc < 2 || net_address_parse (standin, argv[1], &address) != STATUS_OK)
    {
      fprintf (stderr, "usage: %s ADDRESS:PORT [ARGUMENTS]\n", argv[0]);
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  standin->worker = pool_worker (pool, 0);
  standin->clock = clock;
  tevent_add_signal (worker_events (standin->worker), standin, SIGTERM, 0,
                     handle_signal, NULL);
  standin->state = create_state (standin, argc, argv);
  standin->server = http_server_create (standin->worker, &address,
                                        MAX_BODY_BYTES, ops, standin->state);
  if (standin->server == NULL)
    {
      fprintf (stderr, "%s: %s\n", argv[0], status_message ());
      return EXIT_FAILURE;
    }
  printf ("port=%u\n", http_server_port (standin->server));
  fflush (stdout);
  worker_run_until (standin->worker, &is_stopping);
  http_server_destroy (standin->server);
  talloc_free (standin);
  return EXIT_SUCCESS;
}
