#ifndef SISKIN_AGENT_PROGRAM_H
#define SISKIN_AGENT_PROGRAM_H

#include "common/daemon.h"

extern const daemon_program_t agent_program;

#endif
