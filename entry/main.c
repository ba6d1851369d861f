#include "entry/program.h"

int
main (int argc, char **argv)
{
  return daemon_main (&entry_program, argc, argv);
}
