#ifndef SISKIN_PILOT_RANK_CODEC_H
#define SISKIN_PILOT_RANK_CODEC_H

#include "common/frame.h"
#include "plugins/rank_engine.h"

/* Encodes reports, commands and maps of ranks as frame bodies and decodes
   them.  */
void rank_report_to_frame (const rank_report_t *report, const char *upstream,
                           uint64_t after_ticket, frame_t *frame);
void rank_report_from_frame (const frame_rank_report_t *body,
                             rank_report_t *report);
void rank_command_to_frame (TALLOC_CTX *parent, uint64_t ticket,
                            const rank_command_t *command, frame_t *frame);
status_t rank_command_from_frame (TALLOC_CTX *parent,
                                  const frame_rank_command_t *body,
                                  rank_command_t *command);

#endif
