#ifndef SISKIN_RELAY_PROGRAM_H
#define SISKIN_RELAY_PROGRAM_H

#include "common/daemon.h"

extern const daemon_program_t relay_program;

#endif
