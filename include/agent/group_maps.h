#ifndef SISKIN_AGENT_GROUP_MAPS_H
#define SISKIN_AGENT_GROUP_MAPS_H

#include "common/frame.h"
#include "plugins/placement.h"

/* The expert maps known to this process, by version.  When there are too many,
   the least recently used one is dropped.  Maps are encoded on demand, for
   messages to engines and other agents; encodings are not kept.  */
typedef struct group_maps group_maps_t;

group_maps_t *group_maps_create (TALLOC_CTX *parent);
void group_maps_destroy (group_maps_t *maps);
void group_maps_add (group_maps_t *maps, uint64_t version,
                     placement_map_t *map);
const placement_map_t *group_maps_find (group_maps_t *maps, uint64_t version);
/* Encode the maps of versions FIRST and SECOND, if known; the result is owned
   by PARENT.  */
blob_t group_maps_encode (TALLOC_CTX *parent, group_maps_t *maps,
                          uint64_t first, uint64_t second);
/* Add the maps in ENCODED.  */
status_t group_maps_decode (group_maps_t *maps, blob_t encoded);

#endif
