#include "relay/program.h"

int
main (int argc, char **argv)
{
  return daemon_main (&relay_program, argc, argv);
}
