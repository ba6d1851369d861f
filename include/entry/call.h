#ifndef SISKIN_ENTRY_CALL_H
#define SISKIN_ENTRY_CALL_H

#include "entry/entry.h"

/* What the connections tell the calls that go over them.  */
void call_handle_frame (entry_worker_t *share, const frame_t *frame);
void call_handle_link_lost (entry_worker_t *share, const char *upstream);
void call_handle_link_open (entry_worker_t *share, const char *upstream,
                            uint64_t incarnation);

#endif
