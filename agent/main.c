#include "agent/program.h"

int
main (int argc, char **argv)
{
  return daemon_main (&agent_program, argc, argv);
}
