#include "pilot/program.h"

int
main (int argc, char **argv)
{
  return daemon_main (&pilot_program, argc, argv);
}
