#ifndef SISKIN_ENTRY_PROGRAM_H
#define SISKIN_ENTRY_PROGRAM_H

#include "common/daemon.h"

extern const daemon_program_t entry_program;

#endif
