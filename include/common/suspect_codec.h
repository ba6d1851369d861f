#ifndef SISKIN_COMMON_SUSPECT_CODEC_H
#define SISKIN_COMMON_SUSPECT_CODEC_H

#include "common/gossip.h"
#include "common/suspects.h"

/* Translation between records of suspected prompt segments and
   FRAME_SUSPECT.  */
void suspect_to_frame (TALLOC_CTX *parent, const suspect_record_t *record,
                       frame_t *frame);
status_t suspect_from_frame (const frame_suspect_t *body,
                             suspect_record_t *record);

extern const gossip_topic_ops_t suspects_topic; /* of a suspects_t */

#endif
