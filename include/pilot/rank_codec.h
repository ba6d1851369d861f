#ifndef SISKIN_PILOT_RANK_CODEC_H
#define SISKIN_PILOT_RANK_CODEC_H

#include "common/frame.h"
#include "pilot/map_history.h"
#include "plugins/rank_engine.h"

/* Encodes reports, commands and maps of ranks as frame bodies and decodes
   them.  */
void rank_report_to_frame (const rank_report_t *report, const char *upstream,
                           uint64_t after_ticket, frame_t *frame);
void rank_report_from_frame (const frame_rank_report_t *body,
                             rank_report_t *report);
/* A map as a blob of a frame: the whole of it, or its changes to a BASE that
   the receiver has.  */
blob_t rank_map_encode (TALLOC_CTX *parent, const placement_map_t *map);
blob_t rank_map_encode_changes (TALLOC_CTX *parent,
                                const placement_map_t *base,
                                const placement_map_t *map);
void rank_command_to_frame (uint64_t ticket, const rank_command_t *command,
                            blob_t map, frame_t *frame);
status_t rank_command_from_frame (TALLOC_CTX *parent,
                                  const frame_rank_command_t *body,
                                  map_history_t *history,
                                  rank_command_t *command);
/* Counts as levels of count_levels, as a blob of a frame; no bytes when memory
   is exhausted.  */
blob_t rank_counts_encode (TALLOC_CTX *parent, const uint8_t *levels,
                           size_t count);
/* Returns the counts that ENCODED has as levels, of which there are *COUNT,
   times UNIT.  Returns NULL when ENCODED is malformed or the unit is out of
   range.  */
uint64_t *rank_counts_decode (TALLOC_CTX *parent, blob_t encoded,
                              uint64_t unit, size_t *count);

#endif
