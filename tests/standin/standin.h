#ifndef SISKIN_TESTS_STANDIN_H
#define SISKIN_TESTS_STANDIN_H

#include "common/http_server.h"

/* The common part of the stand-ins: one worker that serves one port until the
   process receives SIGTERM.  */
typedef struct standin
{
  worker_t *worker;
  const clock_source_t *clock;
  http_server_t *server;
  void *state;
} standin_t;

int standin_main (int argc, char **argv, const http_server_ops_t *ops,
                  void *(*create_state) (standin_t *standin, int argc,
                                         char **argv));

#endif
