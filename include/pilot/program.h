#ifndef SISKIN_PILOT_PROGRAM_H
#define SISKIN_PILOT_PROGRAM_H

#include "common/daemon.h"

extern const daemon_program_t pilot_program;

#endif
