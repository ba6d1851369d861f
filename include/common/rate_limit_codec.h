#ifndef SISKIN_COMMON_RATE_LIMIT_CODEC_H
#define SISKIN_COMMON_RATE_LIMIT_CODEC_H

#include "common/gossip.h"

/* Records of rate limits as FRAME_RATE_LIMIT; the table is a rate_limits_t. */
extern const gossip_topic_ops_t rate_limits_topic;

#endif
