#ifndef SISKIN_TESTS_STANDIN_H
#define SISKIN_TESTS_STANDIN_H

#include "common/http_server.h"

/* What the stand-ins have in common: one worker that serves one port until a
   signal ends the process.  */
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
